#include <gtest/gtest.h>

#include "tests/support/rollout_simulation.h"

namespace zinniastep::testing {
namespace {

// Good roll-outs of 100 that are reverted when a quarter of all answers is held
// back for a time, with all sessions on the target.
auto RevertedByHold(std::int64_t hold_ms) -> int {
  constexpr std::int64_t kHoldAtMs = 17'500;
  int reverted = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    const DelayResult result = SimulateDelays(
        {}, {kHoldAtMs, kHoldAtMs + hold_ms, 0.25}, kDurationMs, seed);
    reverted += result.state == RolloutState::kReverted ? 1 : 0;
  }
  return reverted;
}

TEST(RolloutHold, AGoodVersionIsNotRevertedByAHoldOfAllVersionsAnswers) {
  EXPECT_EQ(RevertedByHold(1000), 0);
  EXPECT_EQ(RevertedByHold(2000), 0);
  EXPECT_EQ(RevertedByHold(3000), 0);
}

// Deployments allow five seconds after the fiftieth bad answer, which comes
// some three seconds after the version becomes slow.
TEST(RolloutHold, AVersionThatBecomesSlowLateIsRevertedInTime) {
  constexpr std::int64_t kSlowFromMs = 18'500;
  constexpr std::int64_t kMostMs = 5'000;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    const DelayResult result =
        SimulateDelays({0.5, 8.0, kSlowFromMs}, {}, kDurationMs, seed);
    EXPECT_EQ(result.state, RolloutState::kReverted) << seed;
    EXPECT_LE(result.decided_at, kSlowFromMs + kMostMs) << seed;
  }
}

}  // namespace
}  // namespace zinniastep::testing
