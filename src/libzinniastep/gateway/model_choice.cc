#include "libzinniastep/gateway/model_choice.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace zinniastep {

namespace {

// Time until another model's answer begins, as a multiple of the time that the
// first answer took to begin: the queues at the servers are much the same, and
// the largest model reads the prompt more slowly.
constexpr int kSecondAnswerFactor = 2;
// Weight of the newest answer in the lateness: about the last ten count.
constexpr double kDelayWeight = 0.1;
// Time after which earlier answers count half. A host of a large fleet sees an
// answer every few seconds in quiet times: if only answers replaced each other,
// it would take a burst's lateness for the present one for minutes.
constexpr Duration kDelayHalfLife = std::chrono::seconds(10);

}  // namespace

auto AnswerDelay::WeightAt(Instant now) const -> double {
  return std::exp2(-std::chrono::duration<double>(now - recorded_at_) /
                   kDelayHalfLife);
}

auto AnswerDelay::RecordAnswerStart(Instant now, double part_of_target)
    -> void {
  const double kept = (1.0 - kDelayWeight) * WeightAt(now);
  lateness_ = kept * lateness_ + (1.0 - kept) * part_of_target;
  plain_ += kDelayWeight * (part_of_target - plain_);
  recorded_at_ = now;
}

auto AnswerDelay::LatenessAt(Instant now) const -> double {
  return lateness_ * WeightAt(now);
}

auto LeavesTimeForAnother(Duration first_took, Duration left) -> bool {
  return kSecondAnswerFactor * first_took <= left;
}

auto EngineUrgency(std::uint32_t priority) -> std::uint32_t {
  constexpr std::uint32_t kFirst = 1;
  constexpr std::uint32_t kStep = 2;
  constexpr std::uint32_t kLast = 9;
  return std::min(kFirst + kStep * std::min(priority, kLast), kLast);
}

}  // namespace zinniastep
