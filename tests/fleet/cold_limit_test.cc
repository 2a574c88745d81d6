#include <gtest/gtest.h>

#include <cstdint>
#include <cstdio>
#include <string>

#include "tests/fleet/cold_limit_play.h"

namespace zinniastep {
namespace {

// Schedules of paused hosts. The credits of a dead steward are used in about
// one of fifty when hosts break the rule, so that fewer may show none.
constexpr std::uint64_t kPausedSchedules = 400;

auto Report(const Totals& totals) -> void {
  testing::Test::RecordProperty("served", std::to_string(totals.served));
  std::printf("served %llu, overloads %llu, schedules that show it %d\n",
              static_cast<unsigned long long>(totals.served),
              static_cast<unsigned long long>(totals.overloads),
              totals.schedules_caught);
}

TEST(ColdLimitTest, SumOverAllHostsStaysWithinTheLimit) {
  const Totals totals = RunSchedules(Breakage::kNone);
  Report(totals);
  EXPECT_EQ(totals.overloads, 0U);
  // The faults must leave room for work, or the check shows nothing.
  EXPECT_GT(totals.served, 5000U);
}

TEST(ColdLimitTest, CheckSeesAStewardThatDoesNotWait) {
  const Totals totals = RunSchedules(Breakage::kNoWaitOut);
  Report(totals);
  EXPECT_GT(totals.schedules_caught, 0);
}

// Hosts stop with credits in hand, the steward dies, and they wake when its
// successor grants again.
auto RunPausedAskers(Breakage breakage) -> Totals {
  Totals totals;
  for (std::uint64_t seed = 1; seed <= kPausedSchedules; ++seed) {
    FleetShape shape = Shape(seed, breakage);
    // With more, the share kept for the dead steward would hide the fault.
    shape.cold_limit = 1;
    FakeFleet fleet(shape);
    fleet.hold_credits = kHoldCredits;
    fleet.uses_old_credits = breakage == Breakage::kOldCreditsUsed;
    fleet.Run(seconds(15));
    AskAll(fleet, kStep, seconds(1));
    for (const Fault fault :
         {Fault::kPauseOthers, Fault::kKillSteward, Fault::kNone, Fault::kNone,
          Fault::kNone, Fault::kNone, Fault::kNone, Fault::kNone, Fault::kNone,
          Fault::kNone, Fault::kWakeAll, Fault::kNone}) {
      Apply(fleet, fault);
      AskAll(fleet, kStep, seconds(4));
    }
    Count(fleet, totals);
  }
  return totals;
}

TEST(ColdLimitTest, OldCreditsOfPausedHostsAreNotUsed) {
  const Totals totals = RunPausedAskers(Breakage::kNone);
  Report(totals);
  EXPECT_EQ(totals.overloads, 0U);
}

TEST(ColdLimitTest, CheckSeesHostsThatUseOldCredits) {
  const Totals totals = RunPausedAskers(Breakage::kOldCreditsUsed);
  Report(totals);
  EXPECT_GT(totals.schedules_caught, 0);
}

TEST(ColdLimitTest, CheckSeesCreditsForgottenTooEarly) {
  const Totals totals = RunSchedules(Breakage::kCreditsForgotten);
  Report(totals);
  EXPECT_GT(totals.schedules_caught, 0);
}

TEST(ColdLimitTest, CheckSeesStopsThatAreClaimedTooEarly) {
  const Totals totals = RunSchedules(Breakage::kStopClaimedTooEarly);
  Report(totals);
  EXPECT_GT(totals.schedules_caught, 0);
}

}  // namespace
}  // namespace zinniastep
