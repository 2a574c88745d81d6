#include "libzinniastep/gateway/shutdown_decision.h"

namespace zinniastep {

namespace {

auto MayRunAgain(const ForwardProgress& progress) -> bool {
  return progress.repeat_rule == RepeatRule::kIdempotent || progress.resumable;
}

}  // namespace

auto CanFinishBy(Instant end,
                 Instant now,
                 const ForwardProgress& progress,
                 const std::optional<RequestDuration>& usual) -> bool {
  if (progress.deadline <= end) {
    return true;
  }
  if (!usual.has_value()) {
    return false;
  }
  return now + (MayRunAgain(progress) ? usual->mean : usual->longest) <= end;
}

auto EndUnfinished(const ForwardProgress& progress, bool is_sent) -> NextStep {
  if (progress.caller_has_bytes) {
    return AbortAnswer{};
  }
  if (progress.may_have_run || is_sent) {
    return ReportUnknown{};
  }
  return RefuseNotRun{};
}

}  // namespace zinniastep
