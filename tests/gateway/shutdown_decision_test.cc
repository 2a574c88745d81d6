#include "libzinniastep/gateway/shutdown_decision.h"

#include <gtest/gtest.h>

#include "tests/support/gateway_samples.h"

namespace zinniastep::testing {
namespace {

using std::chrono::milliseconds;

auto WithDeadline(std::int64_t deadline) -> ForwardProgress {
  ForwardProgress progress;
  progress.deadline = At(deadline);
  return progress;
}

auto Usual(std::int64_t mean, std::int64_t longest)
    -> std::optional<RequestDuration> {
  return RequestDuration{milliseconds(mean), milliseconds(longest)};
}

TEST(ShutdownDecision, ARequestWhoseDeadlineIsNearIsTaken) {
  EXPECT_TRUE(
      CanFinishBy(At(5000), At(1000), WithDeadline(5000), std::nullopt));
  EXPECT_TRUE(
      CanFinishBy(At(5000), At(1000), WithDeadline(5000), Usual(9000, 9000)));
}

TEST(ShutdownDecision, ARequestOfUnknownDurationIsNotTaken) {
  EXPECT_FALSE(
      CanFinishBy(At(5000), At(1000), WithDeadline(5001), std::nullopt));
}

TEST(ShutdownDecision, ARequestThatRunsOnceIsJudgedByTheLongestRecent) {
  const ForwardProgress progress = WithDeadline(30000);
  EXPECT_TRUE(CanFinishBy(At(5000), At(1000), progress, Usual(100, 4000)));
  EXPECT_FALSE(CanFinishBy(At(5000), At(1001), progress, Usual(100, 4000)));
}

TEST(ShutdownDecision, ARequestThatMayRunAgainIsJudgedByTheMean) {
  for (const bool resumable : {false, true}) {
    ForwardProgress progress = WithDeadline(30000);
    progress.resumable = resumable;
    progress.repeat_rule =
        resumable ? RepeatRule::kAtMostOnce : RepeatRule::kIdempotent;
    EXPECT_TRUE(CanFinishBy(At(5000), At(1000), progress, Usual(3000, 9000)));
    EXPECT_FALSE(CanFinishBy(At(5000), At(2001), progress, Usual(3000, 9000)));
  }
}

TEST(ShutdownDecision, NotRunIsReportedOnlyIfNothingMayHaveRun) {
  for (const bool is_sent : {false, true}) {
    for (const bool may_have_run : {false, true}) {
      ForwardProgress progress;
      progress.may_have_run = may_have_run;
      const NextStep step = EndUnfinished(progress, is_sent);
      EXPECT_EQ(std::holds_alternative<RefuseNotRun>(step),
                !is_sent && !may_have_run);
      progress.caller_has_bytes = true;
      EXPECT_TRUE(std::holds_alternative<AbortAnswer>(
          EndUnfinished(progress, is_sent)));
    }
  }
}

}  // namespace
}  // namespace zinniastep::testing
