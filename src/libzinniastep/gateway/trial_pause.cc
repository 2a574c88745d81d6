#include "libzinniastep/gateway/trial_pause.h"

#include <chrono>
#include <span>

namespace zinniastep {

namespace {

// Ends of servers from which on the evidence is strong.
constexpr std::size_t kStrongEndings = 5;
constexpr Duration kWeakPauses[] = {
    std::chrono::seconds(4), std::chrono::seconds(8), std::chrono::seconds(30)};
constexpr Duration kStrongPauses[] = {std::chrono::seconds(15),
                                      std::chrono::minutes(2)};
// A hold of one request keeps no other one out, and a trial may cost a server.
constexpr Duration kOneRequestPauses[] = {std::chrono::seconds(30),
                                          std::chrono::minutes(2)};

auto Pauses(const HoldState& state) -> std::span<const Duration> {
  if (state.is_one_request) {
    return kOneRequestPauses;
  }
  if (state.endings >= kStrongEndings) {
    return kStrongPauses;
  }
  return kWeakPauses;
}

}  // namespace

auto TrialPause(const HoldState& state) -> std::optional<Duration> {
  const std::span<const Duration> pauses = Pauses(state);
  return state.trials < pauses.size() ? std::optional(pauses[state.trials])
                                      : std::nullopt;
}

}  // namespace zinniastep
