#include "libzinniastep/runtime/time_histogram.h"

#include <algorithm>

namespace zinniastep {

namespace {

// The preferred numbers of ISO 3's series R10, in microseconds.
constexpr std::array<std::int64_t, 10> kFirstDecade = {100, 125, 160, 200, 250,
                                                       315, 400, 500, 630, 800};

}  // namespace

auto TimeHistogram::MakeBounds() -> std::array<Duration, kBounds> {
  std::array<Duration, kBounds> bounds{};
  std::int64_t scale = 1;
  for (std::size_t i = 0; i < kBounds; ++i) {
    if (i > 0 && i % kFirstDecade.size() == 0) {
      scale *= 10;
    }
    bounds[i] = Duration(kFirstDecade[i % kFirstDecade.size()] * scale);
  }
  return bounds;
}

auto TimeHistogram::Bounds() -> std::span<const Duration> {
  static const std::array<Duration, kBounds> bounds = MakeBounds();
  return bounds;
}

auto TimeHistogram::Add(Duration time) -> void {
  time = std::max(time, Duration::zero());
  const auto bounds = Bounds();
  const auto bucket = std::lower_bound(bounds.begin(), bounds.end(), time);
  ++buckets_[static_cast<std::size_t>(bucket - bounds.begin())];
  sum_ += time;
}

}  // namespace zinniastep
