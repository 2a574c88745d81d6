#include "libzinniastep/gateway/shutdown_decision.h"

#include <algorithm>

namespace zinniastep {

namespace {

// Weight of one request in the moving average, as a divisor.
constexpr int kMeanDivisor = 8;
constexpr int kDecayDivisor = 32;

auto MayRunAgain(const ForwardProgress& progress) -> bool {
  return progress.repeat_rule == RepeatRule::kIdempotent || progress.resumable;
}

}  // namespace

auto RequestDurations::Record(std::string_view route, Duration duration)
    -> void {
  const auto found = by_route_.find(route);
  if (found == by_route_.end()) {
    by_route_.emplace(route, RequestDuration{duration, duration});
    return;
  }
  RequestDuration& usual = found->second;
  usual.mean += (duration - usual.mean) / kMeanDivisor;
  usual.longest =
      std::max(duration, usual.longest - usual.longest / kDecayDivisor);
}

auto RequestDurations::Find(std::string_view route) const
    -> std::optional<RequestDuration> {
  const auto found = by_route_.find(route);
  return found == by_route_.end() ? std::nullopt : std::optional(found->second);
}

auto RequestDurations::KeepIf(
    const std::function<bool(const std::string&)>& keep) -> void {
  std::erase_if(by_route_,
                [&keep](const auto& item) { return !keep(item.first); });
}

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
