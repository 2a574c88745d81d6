#include "libzinniastep/gateway/service_performance.h"

#include <algorithm>
#include <cmath>

#include "libzinniastep/base/hash.h"

namespace zinniastep {

namespace {

// A service whose servers stated no pace for this long is treated as one whose
// servers never do.
constexpr Duration kPaceLifetime = std::chrono::seconds(30);
// Responses before a time can be compared with the average.
constexpr std::uint32_t kMinResponses = 5;
// Responses that the averages cover.
constexpr std::uint32_t kMaxResponses = 64;
// Statements that the average use of the slots covers, and the highest use that
// one counts with, so that a false statement changes little.
constexpr std::uint32_t kMaxUses = 16;
constexpr double kMaxUse = 2.0;
// A single response deviates from the average by this factor at most, so that
// stalls and false paces do not shift the average of all servers.
constexpr double kMaxDeviation = 4.0;
// Fewer later events than this, or events that came in one piece, tell nothing
// of the time between events.
constexpr std::uint32_t kMinLaterEvents = 3;
// Weight of the first event beside that of the later ones: cached prompt parts
// and other requests in the queue also change it.
constexpr double kFirstEventWeight = 0.25;

auto InMilliseconds(Duration duration) -> double {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

auto ServicePerformance::IsPaced(Instant now) const -> bool {
  return pace_at_.has_value() && now - *pace_at_ <= kPaceLifetime;
}

auto ServicePerformance::OnUse(double use) -> void {
  uses_ = std::min(uses_ + 1, kMaxUses);
  mean_use_ += (std::min(use, kMaxUse) - mean_use_) / uses_;
}

auto ServicePerformance::OnRequest(double tokens) -> void {
  requests_ = std::min(requests_ + 1, kMaxResponses);
  mean_tokens_ += (tokens - mean_tokens_) / requests_;
}

auto ServicePerformance::Deviation(Baseline& baseline, double log_time)
    -> std::optional<double> {
  const double longest = std::log(kMaxDeviation);
  std::optional<double> deviation;
  if (baseline.samples >= kMinResponses) {
    deviation = std::clamp(log_time - baseline.mean, -longest, longest);
  }
  baseline.samples = std::min(baseline.samples + 1, kMaxResponses);
  baseline.mean +=
      deviation.value_or(log_time - baseline.mean) / baseline.samples;
  return deviation;
}

auto ServicePerformance::Compare(const ResponseTimes& times, double pace)
    -> std::optional<double> {
  ModelTimes& model = models_.at(StableHash(times.model) % kModelSlots);
  double weight = 0.0;
  double slowness = 0.0;
  if (times.first_event > Duration(0) && times.expected_first > Duration(0)) {
    const double part = InMilliseconds(times.first_event) /
                        (InMilliseconds(times.expected_first) * pace);
    if (const auto deviation = Deviation(model.first, std::log(part))) {
      weight += kFirstEventWeight;
      slowness += kFirstEventWeight * *deviation;
    }
  }
  if (times.later_events >= kMinLaterEvents && times.later > Duration(0)) {
    const double gap =
        InMilliseconds(times.later) / (times.later_events * pace);
    if (const auto deviation = Deviation(model.later, std::log(gap))) {
      weight += 1.0;
      slowness += *deviation;
    }
  }
  return weight > 0.0 ? std::optional(-slowness / weight) : std::nullopt;
}

}  // namespace zinniastep
