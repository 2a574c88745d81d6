#include "libzinniastep/gateway/repeat_budget.h"

#include <algorithm>

namespace zinniastep {

RepeatBudget::RepeatBudget(Duration window, double share)
    : bucket_length_(
          std::max<Duration>(window / static_cast<int>(kBuckets), Duration(1))),
      share_(share) {}

auto RepeatBudget::BucketAt(Instant now) -> Bucket& {
  const auto number =
      static_cast<std::uint64_t>(now.time_since_epoch() / bucket_length_);
  Bucket& bucket = buckets_[number % buckets_.size()];
  if (bucket.number != number) {
    bucket = {number, 0, 0};
  }
  return bucket;
}

auto RepeatBudget::OnRequest(Instant now) -> void {
  ++BucketAt(now).requests;
}

auto RepeatBudget::OnRepeat(Instant now) -> void {
  ++BucketAt(now).repeats;
}

auto RepeatBudget::MayRepeat(Instant now, double slack) -> bool {
  const std::uint64_t newest = BucketAt(now).number;
  std::uint64_t requests = 0;
  std::uint64_t repeats = 0;
  for (const Bucket& bucket : buckets_) {
    if (bucket.number + kBuckets >= newest) {
      requests += bucket.requests;
      repeats += bucket.repeats;
    }
  }
  return static_cast<double>(repeats) + 1.0 <=
         share_ * static_cast<double>(requests) + slack;
}

}  // namespace zinniastep
