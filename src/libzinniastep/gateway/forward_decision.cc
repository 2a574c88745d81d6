#include "libzinniastep/gateway/forward_decision.h"

#include <algorithm>

#include "libzinniastep/base/overloaded.h"

namespace zinniastep {

namespace {

// An engine advances all of its requests by one step within some tens of
// milliseconds.
constexpr Duration kMaxSilenceBetweenSteps = std::chrono::milliseconds(1500);
// Fraction of the latency target after which another server can still begin its
// answer in time.
constexpr double kFirstByteTargetFraction = 0.75;
// Prompt tokens that an engine with other requests reads in a millisecond.
constexpr double kBusyPromptTokensPerMs = 10.0;

// A stream that delivers bytes but no event counts as stalled after this many
// times the longest pause that is still on time. A slow stream without a fault
// is late by then, but not lost.
constexpr int kStallPauseFactor = 3;

// A host's own link or a failure domain may be cut or busy for some seconds.
constexpr Duration kFirstRetryPause = std::chrono::milliseconds(100);
constexpr std::uint32_t kMaxPauseDoublings = 4;

// Returns whether the repeat rule and the state of the answer allow another
// send, regardless of limits and budgets.
auto MayRunAgain(const ForwardProgress& progress) -> bool {
  if (progress.caller_has_bytes) {
    // Only a resumable stream can be continued where it stopped; two answers
    // cannot be joined.
    return progress.resumable;
  }
  return !progress.may_have_run ||
         progress.repeat_rule == RepeatRule::kIdempotent || progress.resumable;
}

auto GiveUp(Instant now, const ForwardProgress& progress, SendOutcome outcome)
    -> NextStep {
  if (progress.caller_has_bytes) {
    return AbortAnswer{};
  }
  if (outcome == SendOutcome::kServerFailure) {
    return PassServerFailure{};
  }
  if (!progress.may_have_run) {
    return RefuseNotRun{};
  }
  return ReportUnknown{.timed_out = now >= progress.deadline};
}

}  // namespace

auto ToString(SendOutcome outcome) -> std::string_view {
  switch (outcome) {
    case SendOutcome::kNotSent:
      return "not_sent";
    case SendOutcome::kDeclined:
      return "declined";
    case SendOutcome::kMisdirected:
      return "misdirected";
    case SendOutcome::kBroken:
      return "broken";
    case SendOutcome::kServerFailure:
      return "server_failure";
    case SendOutcome::kAnswered:
      return "answered";
    case SendOutcome::kSilent:
      return "silent";
  }
  return "unknown";
}

auto ToString(const NextStep& step) -> std::string_view {
  return std::visit(
      Overloaded{[](const TryAnother&) { return std::string_view("another"); },
                 [](const TryLater&) { return std::string_view("later"); },
                 [](const auto&) { return std::string_view("give_up"); }},
      step);
}

auto ToString(GiveUpReason reason) -> std::string_view {
  switch (reason) {
    case GiveUpReason::kDeadline:
      return "deadline";
    case GiveUpReason::kNotRepeatable:
      return "not_repeatable";
    case GiveUpReason::kAttemptsUsed:
      return "attempts_used";
    case GiveUpReason::kUndelivered:
      return "undelivered";
    case GiveUpReason::kOverBudget:
      return "over_budget";
    case GiveUpReason::kTrial:
      return "trial";
    case GiveUpReason::kHeldParts:
      return "held_parts";
    case GiveUpReason::kNoServer:
      return "no_server";
  }
  return "unknown";
}

auto RetryObstacle(Instant now,
                   const ForwardProgress& progress,
                   bool may_repeat) -> std::optional<GiveUpReason> {
  if (now + kMinTimeForRetry >= progress.deadline) {
    return GiveUpReason::kDeadline;
  }
  if (!MayRunAgain(progress)) {
    return GiveUpReason::kNotRepeatable;
  }
  if (progress.is_trial && progress.servers_used > 0) {
    return GiveUpReason::kTrial;
  }
  // Another send to a server that was used already reaches no further server.
  if (progress.servers_used >= progress.most_servers && !progress.may_return) {
    return GiveUpReason::kAttemptsUsed;
  }
  if (progress.undelivered_sends >= kMaxUndeliveredSends) {
    return GiveUpReason::kUndelivered;
  }
  // While no server was reached, the next send is not a repeat.
  if (progress.servers_used > 0 && !may_repeat) {
    return GiveUpReason::kOverBudget;
  }
  return std::nullopt;
}

auto DecideNext(Instant now,
                const ForwardProgress& progress,
                SendOutcome outcome,
                bool may_repeat) -> NextStep {
  const auto obstacle = RetryObstacle(now, progress, may_repeat);
  if (!obstacle.has_value()) {
    return TryAnother{};
  }
  const bool may_pass = *obstacle == GiveUpReason::kUndelivered ||
                        *obstacle == GiveUpReason::kOverBudget;
  if (may_pass && MayBeLate(progress)) {
    return TryLater{};
  }
  return GiveUp(now, progress, outcome);
}

auto MayBeLate(const ForwardProgress& progress) -> bool {
  return progress.caller_has_bytes || progress.may_return;
}

auto PauseBeforeRetry(std::uint32_t pauses) -> Duration {
  return kFirstRetryPause * (1U << std::min(pauses, kMaxPauseDoublings));
}

auto ToString(Overdue overdue) -> std::string_view {
  switch (overdue) {
    case Overdue::kBytes:
      return "bytes";
    case Overdue::kEvent:
      return "event";
    case Overdue::kAnswer:
      return "answer";
  }
  return "unknown";
}

auto AfterLeavingServer(const ForwardProgress& progress) -> ForwardProgress {
  ForwardProgress after = progress;
  after.servers_used += 1;
  after.may_have_run = true;
  // Only a send to a server that was left may exceed the attempts.
  after.may_return = false;
  return after;
}

auto MaxServerSilence(const ForwardingRoute& route,
                      bool answer_begun,
                      double prompt_tokens) -> Duration {
  if (answer_begun) {
    return kMaxSilenceBetweenSteps;
  }
  const auto target_wait = std::chrono::duration_cast<Duration>(
      route.target_latency * kFirstByteTargetFraction);
  const auto prompt_wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(prompt_tokens /
                                                kBusyPromptTokensPerMs));
  return std::max(kMaxSilenceBetweenSteps, target_wait) + prompt_wait;
}

auto MaxStreamStall(const ForwardingRoute& route, double prompt_tokens)
    -> Duration {
  return MaxServerSilence(route, false, prompt_tokens) +
         kStallPauseFactor * route.longest_pause;
}

}  // namespace zinniastep
