#include "libzinniastep/node/shutdown.h"

namespace zinniastep {

namespace {

// Open requests are ended this long before the longest time is over.
constexpr Duration kAnswerReserve = std::chrono::milliseconds(500);

}  // namespace

Shutdown::Shutdown(Duration address_time_to_live, Duration longest)
    : address_time_to_live_(address_time_to_live), longest_(longest) {}

auto Shutdown::Begin(Instant now) -> bool {
  if (began_.has_value()) {
    return false;
  }
  began_ = now;
  return true;
}

auto Shutdown::MustEndRequests(Instant now) -> bool {
  if (!began_.has_value() || ending_requests_ || over_) {
    return false;
  }
  ending_requests_ = now - *began_ >= longest_ - kAnswerReserve;
  return ending_requests_;
}

auto Shutdown::IsOver(Instant now, const OpenWork& open) -> bool {
  if (!began_.has_value() || over_) {
    return false;
  }
  const Duration elapsed = now - *began_;
  const bool forgotten = elapsed >= address_time_to_live_;
  const bool done = forgotten && open.none() && !ending_requests_;
  over_ = done || elapsed >= longest_;
  return over_;
}

}  // namespace zinniastep
