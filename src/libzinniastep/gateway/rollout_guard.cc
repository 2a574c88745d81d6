#include "libzinniastep/gateway/rollout_guard.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace zinniastep {

namespace {

// Share of the sessions that use the target, and the fraction of the roll-out's
// duration at which the share begins. The slack after the first half covers the
// differences in when hosts learned of the order. The first share reveals a
// version that fails often after some ten requests, well below any exposure
// limit that a deployment sets (a tenth of the service's requests or more).
struct Stage {
  double start_fraction;
  double share;
  // Answers of the target that the stage requires.
  std::uint64_t min_answers;
};
constexpr std::array<Stage, 3> kStages = {
    {{0.52, 0.1, 0}, {0.62, 0.35, 6}, {0.7, 1.0, 16}}};
// Delay between the decision to raise a share and its effect, since a change
// reaches all hosts in several hops from peer to peer.
constexpr Duration kShareChangeDelay = std::chrono::milliseconds(900);
// Fraction of the duration from which a roll-out without a fault may complete.
// A verdict cannot be undone once the servers of the earlier versions are gone,
// so most of the second half is used to collect evidence. The rest covers hosts
// that learned of the order later and a slow store.
constexpr double kCompletionFraction = 0.88;
// Logarithm of the odds of a fault at or below which a route counts as sound:
// one in fifty, reached after some twelve successful answers and no failure. A
// fault may affect a single route. Routes on which the other versions have
// fewer answers than kBusyRouteAnswers are not checked.
constexpr double kSoundLogOdds = -4.0;
constexpr std::uint64_t kBusyRouteAnswers = 40;
// The test compares a version that fails three in ten requests with one that
// fails as often as the other versions, but at least at the baseline rate.
constexpr double kFaultyRate = 0.3;
constexpr double kMinBaselineRate = 0.02;
// Logarithm of the odds above which a fault counts as proven: a false positive
// in about 1 of 150 tests, which stays below one in ten over four routes and
// several evaluations.
constexpr double kFaultLogOdds = 5.0;
// Answer times that are longer by more than a factor of e to this power count
// as a fault.
constexpr double kSlowLogRatio = 0.9;
constexpr std::uint64_t kMinTimedAnswers = 12;

auto FailureLogOdds(const VersionCounts& target, const VersionCounts& others)
    -> double {
  const double baseline =
      std::clamp(others.answers == 0 ? 0.0
                                     : static_cast<double>(others.failures) /
                                           static_cast<double>(others.answers),
                 kMinBaselineRate, kFaultyRate / 2.0);
  const double faulty = std::max(kFaultyRate, baseline * 3.0);
  const auto failures = static_cast<double>(target.failures);
  const auto successes = static_cast<double>(target.answers - target.failures);
  return failures * std::log(faulty / baseline) +
         successes * std::log((1.0 - faulty) / (1.0 - baseline));
}

auto IsSlow(const VersionCounts& target, const VersionCounts& others) -> bool {
  if (target.timed < kMinTimedAnswers || others.timed < kMinTimedAnswers) {
    return false;
  }
  const double target_mean =
      target.log_slowness / static_cast<double>(target.timed);
  const double others_mean =
      others.log_slowness / static_cast<double>(others.timed);
  return target_mean - others_mean > kSlowLogRatio;
}

// Returns whether the version is sound on each route on which the other
// versions of its service have at least kBusyRouteAnswers answers.
auto IsSoundOnAllRoutes(const VersionEvidence& evidence,
                        const ServiceId& service,
                        const std::string& version) -> bool {
  std::map<std::string, std::pair<VersionCounts, VersionCounts>> by_route;
  for (const auto& [key, counts] : evidence) {
    if (key.service == service) {
      auto& [target_counts, other_counts] = by_route[key.route];
      (key.version == version ? target_counts : other_counts).Add(counts);
    }
  }
  return std::ranges::all_of(by_route, [](const auto& item) {
    const auto& [target_counts, other_counts] = item.second;
    return other_counts.answers < kBusyRouteAnswers ||
           FailureLogOdds(target_counts, other_counts) <= kSoundLogOdds;
  });
}

}  // namespace

auto FindVersionFault(const VersionEvidence& evidence,
                      const ServiceId& service,
                      const std::string& version)
    -> std::optional<std::string> {
  std::map<std::string, std::pair<VersionCounts, VersionCounts>> by_route;
  std::pair<VersionCounts, VersionCounts> all;
  for (const auto& [key, counts] : evidence) {
    if (key.service != service) {
      continue;
    }
    auto& route = by_route[key.route];
    (key.version == version ? route.first : route.second).Add(counts);
    (key.version == version ? all.first : all.second).Add(counts);
  }
  if (FailureLogOdds(all.first, all.second) > kFaultLogOdds) {
    return "failures";
  }
  if (IsSlow(all.first, all.second)) {
    return "slow";
  }
  for (const auto& [route, counts] : by_route) {
    if (FailureLogOdds(counts.first, counts.second) > kFaultLogOdds) {
      return "failures on route " + route;
    }
    if (IsSlow(counts.first, counts.second)) {
      return "slow on route " + route;
    }
  }
  return std::nullopt;
}

auto RolloutGuard::Update(Instant now,
                          const std::vector<RolloutRecord>& records) -> void {
  std::set<std::string> listed;
  for (const RolloutRecord& record : records) {
    listed.insert(record.name);
    Rollout& rollout = rollouts_[record.name];
    const bool is_new =
        rollout.record.order.target_version != record.order.target_version ||
        rollout.record.created != record.created;
    rollout.record = record;
    if (is_new) {
      rollout.started_at = now;
      rollout.share = 0.0;
      rollout.next_share = 0.0;
      rollout.next_at = Duration(0);
      rollout.state = RolloutState::kRunning;
      rollout.reason.clear();
    }
    // A verdict that is recorded in the store is final.
    if (record.state.has_value() &&
        record.state_target == record.order.target_version &&
        *record.state != RolloutState::kRunning) {
      rollout.state = *record.state;
    }
  }
  std::erase_if(rollouts_, [&listed](const auto& item) {
    return !listed.contains(item.first);
  });
}

auto RolloutGuard::Advance(Instant now,
                           const VersionEvidence& evidence,
                           Rollout& rollout) -> void {
  const RolloutOrder& order = rollout.record.order;
  const auto fault =
      FindVersionFault(evidence, order.service, order.target_version);
  if (fault.has_value()) {
    rollout.state = RolloutState::kReverted;
    rollout.reason = *fault;
    return;
  }
  VersionCounts target;
  for (const auto& [key, counts] : evidence) {
    if (key.service == order.service && key.version == order.target_version) {
      target.Add(counts);
    }
  }
  const Duration elapsed = now - rollout.started_at;
  const double progress =
      std::chrono::duration<double>(elapsed) /
      std::chrono::duration<double>(std::max(order.duration, Duration(1)));
  double stage_share = 0.0;
  for (const Stage& stage : kStages) {
    if (progress >= stage.start_fraction &&
        target.answers >= stage.min_answers) {
      stage_share = std::max(stage_share, stage.share);
    }
  }
  if (stage_share > rollout.next_share) {
    rollout.next_share = stage_share;
    rollout.next_at = elapsed + kShareChangeDelay;
  }
  if (elapsed >= rollout.next_at) {
    rollout.share = rollout.next_share;
  }
  if (progress >= kCompletionFraction && rollout.share >= 1.0 &&
      IsSoundOnAllRoutes(evidence, order.service, order.target_version)) {
    rollout.state = RolloutState::kComplete;
    rollout.reason = "no fault in " + std::to_string(target.answers);
  }
}

auto RolloutGuard::Evaluate(Instant now, const VersionEvidence& evidence)
    -> bool {
  bool changed = false;
  for (auto& [name, rollout] : rollouts_) {
    if (rollout.state != RolloutState::kRunning) {
      continue;
    }
    const double share = rollout.share;
    const double next_share = rollout.next_share;
    Advance(now, evidence, rollout);
    changed = changed || share != rollout.share ||
              next_share != rollout.next_share ||
              rollout.state != RolloutState::kRunning;
  }
  return changed;
}

auto RolloutGuard::OnPeerVerdict(const ServiceId& service,
                                 const std::string& target_version,
                                 std::uint64_t order) -> bool {
  for (auto& [name, rollout] : rollouts_) {
    if (rollout.record.order.service == service &&
        rollout.record.order.target_version == target_version &&
        rollout.record.created == order &&
        rollout.state == RolloutState::kRunning) {
      rollout.state = RolloutState::kReverted;
      rollout.reason = "a peer's verdict";
      return true;
    }
  }
  return false;
}

auto RolloutGuard::OnPeerProgress(Instant now, const RolloutProgress& progress)
    -> bool {
  bool changed = false;
  for (auto& [name, rollout] : rollouts_) {
    if (rollout.record.order.service != progress.service ||
        rollout.record.order.target_version != progress.target_version ||
        rollout.record.created != progress.order ||
        rollout.state != RolloutState::kRunning) {
      continue;
    }
    rollout.started_at =
        std::min(rollout.started_at,
                 now - std::chrono::milliseconds(progress.elapsed_ms));
    if (progress.share > rollout.share && progress.share <= 1.0) {
      rollout.share = progress.share;
      changed = true;
    }
    const Duration next_at = std::chrono::milliseconds(progress.next_at_ms);
    if (progress.next_share <= 1.0 &&
        (progress.next_share > rollout.next_share ||
         (progress.next_share == rollout.next_share &&
          next_at < rollout.next_at))) {
      rollout.next_share = progress.next_share;
      rollout.next_at = next_at;
      changed = true;
    }
    rollout.next_share = std::max(rollout.next_share, rollout.share);
  }
  return changed;
}

auto RolloutGuard::progress(Instant now) const -> std::vector<RolloutProgress> {
  std::vector<RolloutProgress> all;
  for (const auto& [name, rollout] : rollouts_) {
    if (rollout.state != RolloutState::kRunning) {
      continue;
    }
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - rollout.started_at);
    const auto next_at =
        std::chrono::duration_cast<std::chrono::milliseconds>(rollout.next_at);
    all.push_back(
        {rollout.record.order.service, rollout.record.order.target_version,
         rollout.record.created,
         static_cast<std::uint64_t>(std::max<std::int64_t>(elapsed.count(), 0)),
         rollout.share, rollout.next_share,
         static_cast<std::uint64_t>(next_at.count())});
  }
  return all;
}

auto RolloutGuard::splits() const -> std::vector<RolloutSplit> {
  std::vector<RolloutSplit> splits;
  for (const auto& [name, rollout] : rollouts_) {
    const RolloutOrder& order = rollout.record.order;
    double share = rollout.share;
    if (rollout.state == RolloutState::kComplete) {
      share = 1.0;
    } else if (rollout.state == RolloutState::kReverted) {
      share = 0.0;
    }
    const bool is_running = rollout.state == RolloutState::kRunning;
    splits.push_back({order.service, order.target_version, share,
                      rollout.record.created,
                      is_running ? rollout.next_share : share,
                      rollout.started_at + rollout.next_at});
  }
  return splits;
}

auto RolloutGuard::DueWrites() const -> std::vector<RolloutStatusWrite> {
  std::vector<RolloutStatusWrite> writes;
  for (const auto& [name, rollout] : rollouts_) {
    const RolloutRecord& record = rollout.record;
    const bool is_recorded = record.state == rollout.state &&
                             record.state_target == record.order.target_version;
    if (!is_recorded) {
      writes.push_back({name, record.revision, record.order.target_version,
                        rollout.state, rollout.reason});
    }
  }
  return writes;
}

auto RolloutGuard::IsRunning() const -> bool {
  return std::ranges::any_of(rollouts_, [](const auto& item) {
    return item.second.state == RolloutState::kRunning;
  });
}

}  // namespace zinniastep
