#include "libzinniastep/gateway/model_ladder.h"

#include <algorithm>

namespace zinniastep {

namespace {

// Utilization from which each smaller model answers.
constexpr double kSecondModelFrom = 0.75;
constexpr double kThirdModelFrom = 1.3;
// An answer with a lower opinion of itself is asked for again.
constexpr std::uint32_t kLeastConfidence = 50;

}  // namespace

auto FirstModel(const LadderState& state) -> std::size_t {
  if (state.models == 0) {
    return 0;
  }
  std::size_t steps_down = 0;
  if (state.utilization >= kThirdModelFrom) {
    steps_down = 2;
  } else if (state.utilization >= kSecondModelFrom) {
    steps_down = 1;
  }
  return state.models - 1 - std::min(steps_down, state.models - 1);
}

auto NextModel(const LadderState& state,
               std::size_t model,
               std::uint32_t confidence) -> std::optional<std::size_t> {
  if (model + 1 >= state.models || state.sends_left == 0 ||
      confidence >= kLeastConfidence || state.utilization >= kSecondModelFrom) {
    return std::nullopt;
  }
  return state.models - 1;
}

auto EngineUrgency(std::uint32_t priority) -> std::uint32_t {
  constexpr std::uint32_t kFirst = 1;
  constexpr std::uint32_t kStep = 2;
  constexpr std::uint32_t kLast = 9;
  return std::min(kFirst + kStep * std::min(priority, kLast), kLast);
}

}  // namespace zinniastep
