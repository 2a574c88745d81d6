#include "libzinniastep/gateway/model_ladder.h"

#include <algorithm>

namespace zinniastep {

namespace {

// Models tell of themselves whether they could answer; at this opinion they are
// as often right as wrong.
constexpr double kEvenConfidence = 50.0;
// Utilization from which fewer answers are asked for again, and from which
// none is: the largest model takes ten times the smallest one's time.
constexpr double kFewerFrom = 0.55;
constexpr double kNoneFrom = 1.05;
// The same for answers of any size that begin late. A second answer by the
// largest model begins ten times as late as one by the smallest, so that from a
// quarter of the target on it would miss it.
constexpr double kFewerFromLateness = 0.0625;
constexpr double kNoneFromLateness = 0.25;
// Times that the first answer took to begin, after which another model's has
// begun: what waits at the servers is much the same, and the largest model
// reads the prompt more slowly.
constexpr int kSecondAnswerFactor = 2;
// Weight of the newest answer in the lateness: about the last ten count.
constexpr double kDelayWeight = 0.1;

// Returns which part of the usual second answers a load leaves, from 0 to 1.
auto Room(double load, double fewer_from, double none_from) -> double {
  return std::clamp((none_from - load) / (none_from - fewer_from), 0.0, 1.0);
}

// Returns the opinion below which an answer is asked for again.
auto LeastConfidence(const LadderState& state) -> double {
  return kEvenConfidence *
         std::min(Room(state.utilization, kFewerFrom, kNoneFrom),
                  Room(state.lateness, kFewerFromLateness, kNoneFromLateness));
}

}  // namespace

auto AnswerDelay::OnBegin(double part_of_target) -> void {
  lateness_ += kDelayWeight * (part_of_target - lateness_);
}

auto FirstModel(const LadderState& /*state*/) -> std::size_t {
  return 0;
}

auto NextModel(const LadderState& state,
               std::size_t model,
               std::uint32_t confidence) -> std::optional<std::size_t> {
  if (model + 1 >= state.models || state.sends_left == 0 ||
      confidence >= LeastConfidence(state)) {
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
