#include "libzinniastep/traffic/delivery_watch.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace zinniastep {

namespace {

// Applies where the bound on leaving servers allows more.
constexpr Duration kLongestUndelivered = std::chrono::milliseconds(2500);
// Time that the news of a leaving server may take to reach a host.
constexpr Duration kNewsReserve = std::chrono::milliseconds(600);
constexpr int kLooksPerLimit = 4;

}  // namespace

auto UndeliveredLimit(Duration leaving_time) -> Duration {
  if (leaving_time <= Duration(0)) {
    return kLongestUndelivered;
  }
  return std::min(kLongestUndelivered,
                  std::max(leaving_time - kNewsReserve, leaving_time / 2));
}

auto DeliveryWatch::Begin(Instant now) -> void {
  progress_at_ = now;
  undelivered_ = std::numeric_limits<std::size_t>::max();
}

auto DeliveryWatch::IsStalled(Instant now, std::size_t undelivered) -> bool {
  // The first look only finds out how much was sent.
  const bool is_first = undelivered_ == std::numeric_limits<std::size_t>::max();
  if (undelivered == 0 || (!is_first && undelivered < undelivered_)) {
    progress_at_ = now;
  }
  undelivered_ = undelivered;
  return undelivered > 0 && now - progress_at_ >= limit_;
}

auto DeliveryWatch::UntilNextLook(Instant now) const -> Duration {
  const Duration left = progress_at_ + limit_ - now;
  return std::clamp(left, Duration(1000), limit_ / kLooksPerLimit);
}

}  // namespace zinniastep
