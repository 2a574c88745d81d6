#include "libzinniastep/gateway/forward_decision.h"

namespace zinniastep {

namespace {

// Whether a failed send allows another one by the request's kind alone.
auto MayRunAgain(const ForwardProgress& progress) -> bool {
  return !progress.may_have_run ||
         progress.repeat_rule == RepeatRule::kIdempotent || progress.resumable;
}

auto GiveUp(Instant now, const ForwardProgress& progress, SendOutcome outcome)
    -> NextStep {
  if (progress.caller_has_bytes) {
    return BreakOff{};
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

auto DecideNext(Instant now,
                const ForwardProgress& progress,
                SendOutcome outcome,
                bool may_repeat) -> NextStep {
  if (now + kLeastTimeForAnother >= progress.deadline ||
      !MayRunAgain(progress) ||
      progress.servers_used >= progress.most_servers ||
      progress.futile_sends >= kMostFutileSends) {
    return GiveUp(now, progress, outcome);
  }
  // A first arrival is still owed when no server was reached.
  const bool is_repeat = progress.servers_used > 0;
  if (is_repeat && !may_repeat) {
    return GiveUp(now, progress, outcome);
  }
  return TryAnother{};
}

}  // namespace zinniastep
