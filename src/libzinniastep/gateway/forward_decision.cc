#include "libzinniastep/gateway/forward_decision.h"

#include <algorithm>

namespace zinniastep {

namespace {

// Engines make a step for all their requests within some tens of milliseconds.
constexpr Duration kStepSilence = std::chrono::milliseconds(1500);
// Part of the target after which another server could still begin in time.
constexpr double kFirstByteTargetPart = 0.75;
// Tokens of a prompt that an engine with other work reads in a millisecond.
constexpr double kBusyPromptTokensPerMs = 10.0;

// Pauses between events, each as long as may still be on time, after which a
// stream that brings bytes but no event is taken for stalled. A sound one that
// is slow is late by then, but not lost.
constexpr int kStalledPauses = 3;

// Whether a failed send allows another one by the request's kind alone.
auto MayRunAgain(const ForwardProgress& progress) -> bool {
  if (progress.caller_has_bytes) {
    // Only a stream can go on where it stopped; two answers cannot be joined.
    return progress.resumable;
  }
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

auto LongestSilence(const ForwardingRoute& route,
                    bool answer_begun,
                    double prompt_tokens) -> Duration {
  if (answer_begun) {
    return kStepSilence;
  }
  const auto of_target = std::chrono::duration_cast<Duration>(
      route.target_latency * kFirstByteTargetPart);
  const auto of_prompt = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(prompt_tokens /
                                                kBusyPromptTokensPerMs));
  return std::max(kStepSilence, of_target) + of_prompt;
}

auto LongestStall(const ForwardingRoute& route, double prompt_tokens)
    -> Duration {
  return LongestSilence(route, false, prompt_tokens) +
         kStalledPauses * route.longest_pause;
}

}  // namespace zinniastep
