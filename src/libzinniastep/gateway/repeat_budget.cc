#include "libzinniastep/gateway/repeat_budget.h"

#include <algorithm>

namespace zinniastep {

RepeatBudget::RepeatBudget(Duration window, double share)
    : part_length_(
          std::max<Duration>(window / static_cast<int>(kParts), Duration(1))),
      share_(share) {}

auto RepeatBudget::PartAt(Instant now) -> Part& {
  const auto number =
      static_cast<std::uint64_t>(now.time_since_epoch() / part_length_);
  Part& part = parts_[number % parts_.size()];
  if (part.number != number) {
    part = {number, 0, 0};
  }
  return part;
}

auto RepeatBudget::OnRequest(Instant now) -> void {
  ++PartAt(now).requests;
}

auto RepeatBudget::OnRepeat(Instant now) -> void {
  ++PartAt(now).repeats;
}

auto RepeatBudget::MayRepeat(Instant now, double slack) -> bool {
  const std::uint64_t newest = PartAt(now).number;
  std::uint64_t requests = 0;
  std::uint64_t repeats = 0;
  for (const Part& part : parts_) {
    if (part.number + kParts >= newest) {
      requests += part.requests;
      repeats += part.repeats;
    }
  }
  return static_cast<double>(repeats) + 1.0 <=
         share_ * static_cast<double>(requests) + slack;
}

}  // namespace zinniastep
