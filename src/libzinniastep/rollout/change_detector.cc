#include "libzinniastep/rollout/change_detector.h"

#include <chrono>
#include <cstddef>

#include "libzinniastep/rollout/evidence_judge.h"

namespace zinniastep {

namespace {

constexpr Duration kSnapshotInterval = std::chrono::seconds(30);
constexpr std::size_t kMaxPoints = 16;
constexpr std::size_t kMaxScopes = 512;
constexpr double kMinBaselineAnswers = 100.0;
// Probability of a false alarm for each point in time at which a change may
// begin.
constexpr double kFalseAlarmProbability = 1e-7;

}  // namespace

auto ChangeDetector::OnTotal(Instant now,
                             const EvidenceScope& scope,
                             const EvidenceSums& total) -> void {
  if (histories_.size() >= kMaxScopes && !histories_.contains(scope)) {
    return;
  }
  History& history = histories_[scope];
  if (!history.points.empty() && now - history.updated_at < kSnapshotInterval) {
    return;
  }
  history.updated_at = now;
  history.points.push_back(total);
  if (history.points.size() > kMaxPoints) {
    history.points.pop_front();
  }
}

auto ChangeDetector::FindRegression(const EvidenceScope& scope,
                                    const EvidenceSums& total) const
    -> std::optional<std::string> {
  const auto found = histories_.find(scope);
  if (found == histories_.end()) {
    return std::nullopt;
  }
  EvidenceLimits limits;
  limits.false_alarm_probability = kFalseAlarmProbability;
  limits.compare_timing = false;
  const auto& points = found->second.points;
  for (std::size_t age = 1; age <= points.size(); age *= 2) {
    const EvidenceSums& earlier = points[points.size() - age];
    if (earlier.errors.count() < kMinBaselineAnswers) {
      continue;
    }
    if (auto regression = zinniastep::FindRegression(
            total.Since(earlier), earlier, EvidenceSums(), limits)) {
      return regression;
    }
  }
  return std::nullopt;
}

auto ChangeDetector::Forget(const EvidenceScope& scope) -> void {
  histories_.erase(scope);
}

}  // namespace zinniastep
