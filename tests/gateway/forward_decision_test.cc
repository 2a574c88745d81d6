#include "libzinniastep/gateway/forward_decision.h"

#include <array>

#include <gtest/gtest.h>

#include "tests/support/gateway_samples.h"

namespace zinniastep::testing {
namespace {

constexpr std::array kFailures = {
    SendOutcome::kNotSent,       SendOutcome::kDeclined,
    SendOutcome::kMisdirected,   SendOutcome::kBroken,
    SendOutcome::kServerFailure, SendOutcome::kSilent};

auto MayHaveRun(SendOutcome outcome) -> bool {
  return outcome == SendOutcome::kBroken ||
         outcome == SendOutcome::kServerFailure ||
         outcome == SendOutcome::kSilent;
}

auto After(SendOutcome outcome) -> ForwardProgress {
  ForwardProgress progress;
  progress.most_servers = 3;
  progress.deadline = At(1000);
  progress.may_have_run = MayHaveRun(outcome);
  const bool reached =
      outcome != SendOutcome::kNotSent && outcome != SendOutcome::kMisdirected;
  (reached ? progress.servers_used : progress.undelivered_sends) = 1;
  return progress;
}

TEST(ForwardDecision, AnAtMostOnceRequestIsNotResentAfterItMayHaveRun) {
  for (const SendOutcome outcome : kFailures) {
    const NextStep step = DecideNext(At(0), After(outcome), outcome, true);
    EXPECT_EQ(std::holds_alternative<TryAnother>(step), !MayHaveRun(outcome))
        << ToString(outcome);
  }
}

TEST(ForwardDecision, NotRunIsReportedOnlyWhenItIsTrue) {
  for (const SendOutcome outcome : kFailures) {
    for (const bool may_repeat : {false, true}) {
      for (const std::int64_t now : {0, 995, 1200}) {
        const NextStep step =
            DecideNext(At(now), After(outcome), outcome, may_repeat);
        if (std::holds_alternative<RefuseNotRun>(step)) {
          EXPECT_FALSE(MayHaveRun(outcome)) << ToString(outcome);
        }
      }
    }
  }
}

TEST(ForwardDecision, AnIdempotentRequestIsResentWithinItsLimits) {
  for (const SendOutcome outcome : kFailures) {
    ForwardProgress progress = After(outcome);
    progress.repeat_rule = RepeatRule::kIdempotent;
    EXPECT_TRUE(std::holds_alternative<TryAnother>(
        DecideNext(At(0), progress, outcome, true)))
        << ToString(outcome);
    progress.servers_used = progress.most_servers;
    EXPECT_FALSE(std::holds_alternative<TryAnother>(
        DecideNext(At(0), progress, outcome, true)))
        << ToString(outcome);
  }
}

TEST(ForwardDecision, TheRepeatBudgetAppliesToRepeatsOnly) {
  ForwardProgress progress = After(SendOutcome::kServerFailure);
  progress.repeat_rule = RepeatRule::kIdempotent;
  EXPECT_TRUE(std::holds_alternative<PassServerFailure>(
      DecideNext(At(0), progress, SendOutcome::kServerFailure, false)));
  EXPECT_TRUE(std::holds_alternative<TryAnother>(DecideNext(
      At(0), After(SendOutcome::kNotSent), SendOutcome::kNotSent, false)));
}

TEST(ForwardDecision, AServerThatWasLeftIsAskedAgainAfterTheLastAttempt) {
  ForwardProgress progress = After(SendOutcome::kDeclined);
  progress.resumable = true;
  progress.may_have_run = true;
  progress.servers_used = progress.most_servers;
  EXPECT_EQ(RetryObstacle(At(0), progress, true), GiveUpReason::kAttemptsUsed);
  progress.may_return = true;
  EXPECT_EQ(RetryObstacle(At(0), progress, true), std::nullopt);
  EXPECT_EQ(RetryObstacle(At(0), progress, false), GiveUpReason::kOverBudget);
  EXPECT_EQ(RetryObstacle(At(1000), progress, true), GiveUpReason::kDeadline);
}

TEST(ForwardDecision, LeavingAServerCountsItAsUsed) {
  ForwardProgress progress = After(SendOutcome::kNotSent);
  progress.resumable = true;
  progress.most_servers = 1;
  EXPECT_EQ(RetryObstacle(At(0), AfterLeavingServer(progress), true),
            GiveUpReason::kAttemptsUsed);
  progress.resumable = false;
  progress.most_servers = 2;
  EXPECT_EQ(RetryObstacle(At(0), AfterLeavingServer(progress), true),
            GiveUpReason::kNotRepeatable);
}

TEST(ForwardDecision, AServerThatMayBeAskedAgainAllowsNoFurtherServer) {
  ForwardProgress progress = After(SendOutcome::kNotSent);
  progress.resumable = true;
  progress.may_return = true;
  progress.servers_used = progress.most_servers - 1;
  EXPECT_EQ(RetryObstacle(At(0), AfterLeavingServer(progress), true),
            GiveUpReason::kAttemptsUsed);
}

TEST(ForwardDecision, TwoAnswersAreNeverJoined) {
  for (const SendOutcome outcome : kFailures) {
    ForwardProgress progress = After(outcome);
    progress.repeat_rule = RepeatRule::kIdempotent;
    progress.caller_has_bytes = true;
    progress.may_have_run = true;
    EXPECT_TRUE(std::holds_alternative<AbortAnswer>(
        DecideNext(At(0), progress, outcome, true)))
        << ToString(outcome);
  }
}

TEST(ForwardDecision, AStalledStreamIsAbandonedLaterThanASlowOneIsLate) {
  ForwardingRoute route;
  route.target_latency = std::chrono::seconds(4);
  route.longest_pause = std::chrono::milliseconds(1500);
  EXPECT_GT(MaxStreamStall(route, 0.0), 2 * route.longest_pause);
  EXPECT_LT(MaxStreamStall(route, 12000.0), std::chrono::seconds(10));
}

TEST(ForwardDecision, APartialAnswerIsAbortedUnlessResumable) {
  ForwardProgress progress = After(SendOutcome::kBroken);
  progress.caller_has_bytes = true;
  EXPECT_TRUE(std::holds_alternative<AbortAnswer>(
      DecideNext(At(0), progress, SendOutcome::kBroken, true)));
  progress.resumable = true;
  EXPECT_TRUE(std::holds_alternative<TryAnother>(
      DecideNext(At(0), progress, SendOutcome::kBroken, true)));
}

TEST(ForwardDecision, SendsThatReachNoServerAreLimited) {
  ForwardProgress progress = After(SendOutcome::kNotSent);
  progress.undelivered_sends = kMaxUndeliveredSends;
  EXPECT_TRUE(std::holds_alternative<RefuseNotRun>(
      DecideNext(At(0), progress, SendOutcome::kNotSent, true)));
}

TEST(ForwardDecision, ABegunStreamOutlastsAnUnreachableNetwork) {
  ForwardProgress progress = After(SendOutcome::kBroken);
  progress.resumable = true;
  progress.undelivered_sends = kMaxUndeliveredSends;
  EXPECT_TRUE(std::holds_alternative<ReportUnknown>(
      DecideNext(At(0), progress, SendOutcome::kNotSent, true)));
  progress.caller_has_bytes = true;
  EXPECT_TRUE(std::holds_alternative<TryLater>(
      DecideNext(At(0), progress, SendOutcome::kNotSent, true)));
  EXPECT_TRUE(std::holds_alternative<AbortAnswer>(
      DecideNext(progress.deadline, progress, SendOutcome::kNotSent, true)));
}

TEST(ForwardDecision, ARequestThatLeftASoundServerOutlastsTheNetworkToo) {
  ForwardProgress progress = After(SendOutcome::kSilent);
  progress.repeat_rule = RepeatRule::kIdempotent;
  progress.undelivered_sends = kMaxUndeliveredSends;
  progress.may_return = true;
  EXPECT_TRUE(std::holds_alternative<TryLater>(
      DecideNext(At(0), progress, SendOutcome::kNotSent, true)));
}

TEST(ForwardDecision, ABegunStreamOutlastsASpentRepeatBudget) {
  ForwardProgress progress = After(SendOutcome::kBroken);
  progress.resumable = true;
  EXPECT_TRUE(std::holds_alternative<ReportUnknown>(
      DecideNext(At(0), progress, SendOutcome::kBroken, false)));
  progress.caller_has_bytes = true;
  EXPECT_TRUE(std::holds_alternative<TryLater>(
      DecideNext(At(0), progress, SendOutcome::kBroken, false)));
  EXPECT_TRUE(std::holds_alternative<AbortAnswer>(
      DecideNext(progress.deadline, progress, SendOutcome::kBroken, false)));
}

TEST(ForwardDecision, ARequestThatLeftASoundServerOutlastsASpentBudget) {
  ForwardProgress progress = After(SendOutcome::kSilent);
  progress.repeat_rule = RepeatRule::kIdempotent;
  progress.may_return = true;
  EXPECT_TRUE(std::holds_alternative<TryLater>(
      DecideNext(At(0), progress, SendOutcome::kSilent, false)));
  EXPECT_TRUE(std::holds_alternative<ReportUnknown>(
      DecideNext(progress.deadline, progress, SendOutcome::kSilent, false)));
}

TEST(ForwardDecision, PausesBetweenSendsGrowToABound) {
  EXPECT_EQ(PauseBeforeRetry(0), std::chrono::milliseconds(100));
  EXPECT_EQ(PauseBeforeRetry(1), std::chrono::milliseconds(200));
  EXPECT_EQ(PauseBeforeRetry(4), std::chrono::milliseconds(1600));
  EXPECT_EQ(PauseBeforeRetry(100), std::chrono::milliseconds(1600));
}

TEST(ForwardDecision, ReportsWhetherTheDeadlineHasPassed) {
  const ForwardProgress progress = After(SendOutcome::kBroken);
  EXPECT_FALSE(std::get<ReportUnknown>(
                   DecideNext(At(10), progress, SendOutcome::kBroken, true))
                   .timed_out);
  EXPECT_TRUE(std::get<ReportUnknown>(
                  DecideNext(At(1000), progress, SendOutcome::kSilent, true))
                  .timed_out);
}

// A server with many requests takes seconds to begin an answer. Requests that
// were moved away after 1.5 s started over at other servers and made those as
// slow.
TEST(MaxServerSilence, ABusyServerMayBeSilentBeforeItsAnswerBegins) {
  ForwardingRoute route;
  route.target_latency = std::chrono::seconds(4);
  const Duration shortest = MaxServerSilence(route, false, 0.0);
  EXPECT_GE(shortest, std::chrono::milliseconds(2500));
  EXPECT_LT(shortest, route.target_latency)
      << "another server may still answer in time";
  EXPECT_GT(MaxServerSilence(route, false, 20000.0), shortest);
  EXPECT_LT(MaxServerSilence(route, true, 20000.0), shortest)
      << "events follow one another quickly";
}

}  // namespace
}  // namespace zinniastep::testing
