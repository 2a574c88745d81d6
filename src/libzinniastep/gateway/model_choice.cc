#include "libzinniastep/gateway/model_choice.h"

#include <algorithm>

namespace zinniastep {

namespace {

// Models report their confidence in their own answer; at this confidence the
// answers are right as often as wrong.
constexpr double kEvenConfidence = 50.0;
// Utilization from which fewer requests are sent to a second model, and from
// which none is: the largest model takes ten times as long as the smallest.
constexpr double kReducedFromUtilization = 0.55;
constexpr double kNoneFromUtilization = 1.05;
// The same limits for the lateness, as a fraction of the latency target. A
// second answer by the largest model begins ten times as late as one by the
// smallest, so that from a quarter of the target on it would miss the target.
constexpr double kReducedFromLateness = 0.0625;
constexpr double kNoneFromLateness = 0.25;
// Time until another model's answer begins, as a multiple of the time that the
// first answer took to begin: the queues at the servers are much the same, and
// the largest model reads the prompt more slowly.
constexpr int kSecondAnswerFactor = 2;
// Weight of the newest answer in the lateness: about the last ten count.
constexpr double kDelayWeight = 0.1;

// Returns the fraction of the usual second answers that a load allows, from 0
// to 1.
auto SecondAnswerFraction(double load, double reduced_from, double none_from)
    -> double {
  return std::clamp((none_from - load) / (none_from - reduced_from), 0.0, 1.0);
}

// Returns the confidence below which the request is sent to another model.
auto MinConfidence(const ModelChoiceInputs& state) -> double {
  return kEvenConfidence *
         std::min(
             SecondAnswerFraction(state.utilization, kReducedFromUtilization,
                                  kNoneFromUtilization),
             SecondAnswerFraction(state.lateness, kReducedFromLateness,
                                  kNoneFromLateness));
}

}  // namespace

auto AnswerDelay::RecordAnswerStart(double part_of_target) -> void {
  lateness_ += kDelayWeight * (part_of_target - lateness_);
}

auto FirstModel(const ModelChoiceInputs& /*state*/) -> std::size_t {
  return 0;
}

auto NextModel(const ModelChoiceInputs& state,
               std::size_t model,
               std::uint32_t confidence) -> std::optional<std::size_t> {
  if (model + 1 >= state.models || state.sends_left == 0 ||
      confidence >= MinConfidence(state)) {
    return std::nullopt;
  }
  return state.models - 1;
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
