#ifndef LIBZINNIASTEP_RUNTIME_TIME_HISTOGRAM_H_
#define LIBZINNIASTEP_RUNTIME_TIME_HISTOGRAM_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

#include "libzinniastep/base/time.h"

namespace zinniastep {

// Counts of times in buckets with fixed upper bounds, ten a decade from 0.1 ms
// to 100 s, and one bucket above them.
class TimeHistogram {
 public:
  // Upper bounds of all buckets but the last, in ascending order. A time equal
  // to a bound belongs to that bound's bucket.
  [[nodiscard]] static auto Bounds() -> std::span<const Duration>;

  // Counts a time; a negative one counts as zero.
  auto Add(Duration time) -> void;

  // The count of each bucket by itself, one more than there are bounds.
  [[nodiscard]] auto buckets() const -> std::span<const std::uint64_t> {
    return buckets_;
  }
  [[nodiscard]] auto sum() const -> Duration { return sum_; }

 private:
  static constexpr std::size_t kBounds = 61;

  static auto MakeBounds() -> std::array<Duration, kBounds>;

  std::array<std::uint64_t, kBounds + 1> buckets_{};
  Duration sum_{};
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_TIME_HISTOGRAM_H_
