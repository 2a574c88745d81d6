#include "libzinniastep/gateway/rollout_guard.h"

#include <algorithm>
#include <cmath>

namespace zinniastep {

namespace {

// Part of the sessions that uses the target during the first half: some
// requests a second on a busy service, and well below any exposure limit that
// a deployment states (a tenth and more).
constexpr double kTrialShare = 0.07;
// Part that uses it while the second half begins.
constexpr double kWideShare = 0.3;
// Positions of the stages within a roll-out's duration. The slack after the
// half covers what hosts differ in when they learned of the order.
constexpr double kWideFrom = 0.54;
constexpr double kFullFrom = 0.62;
constexpr double kCompleteFrom = 0.75;
// Answers of the target that a roll-out wants before each wider stage.
constexpr std::uint64_t kAnswersForWide = 8;
constexpr std::uint64_t kAnswersForComplete = 20;
// A version that fails three in ten is tested against one that fails as often
// as the others do, and at least this often.
constexpr double kFaultyRate = 0.3;
constexpr double kLeastBaselineRate = 0.03;
// Logarithm of the odds at which a fault is taken for shown: about 1 in 150,
// which four routes and several looks still leave below one in ten.
constexpr double kFaultLogOdds = 5.0;
// Times several times as long count as a fault: e to this power.
constexpr double kSlowLogRatio = 0.9;
constexpr std::uint64_t kTimedForSlow = 12;

auto FailureLogOdds(const VersionCounts& target, const VersionCounts& others)
    -> double {
  const double baseline =
      std::clamp(others.answers == 0 ? 0.0
                                     : static_cast<double>(others.failures) /
                                           static_cast<double>(others.answers),
                 kLeastBaselineRate, kFaultyRate / 2.0);
  const double faulty = std::max(kFaultyRate, baseline * 3.0);
  const auto failures = static_cast<double>(target.failures);
  const auto good = static_cast<double>(target.answers - target.failures);
  return failures * std::log(faulty / baseline) +
         good * std::log((1.0 - faulty) / (1.0 - baseline));
}

auto IsSlow(const VersionCounts& target, const VersionCounts& others) -> bool {
  if (target.timed < kTimedForSlow || others.timed < kTimedForSlow) {
    return false;
  }
  const double target_mean =
      target.log_slowness / static_cast<double>(target.timed);
  const double others_mean =
      others.log_slowness / static_cast<double>(others.timed);
  return target_mean - others_mean > kSlowLogRatio;
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
      rollout.began = now;
      rollout.share = 0.0;
      rollout.state = RolloutState::kRunning;
      rollout.reason.clear();
      rollout.full_since.reset();
    }
    // A verdict that stands in the store is final.
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
  const double progress =
      std::chrono::duration<double>(now - rollout.began) /
      std::chrono::duration<double>(std::max(order.duration, Duration(1)));
  rollout.share = kTrialShare;
  if (progress >= kWideFrom && target.answers >= kAnswersForWide) {
    rollout.share = kWideShare;
  }
  if (progress >= kFullFrom && target.answers >= kAnswersForComplete) {
    rollout.share = 1.0;
  }
  if (progress >= kCompleteFrom && rollout.share >= 1.0) {
    rollout.state = RolloutState::kComplete;
    rollout.reason = "no fault in " + std::to_string(target.answers);
  }
}

auto RolloutGuard::Judge(Instant now, const VersionEvidence& evidence) -> bool {
  bool changed = false;
  for (auto& [name, rollout] : rollouts_) {
    if (rollout.state != RolloutState::kRunning) {
      continue;
    }
    const double share = rollout.share;
    Advance(now, evidence, rollout);
    changed = changed || share != rollout.share ||
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
    splits.push_back(
        {order.service, order.target_version, share, rollout.record.created});
  }
  return splits;
}

auto RolloutGuard::DueWrites() const -> std::vector<RolloutStatusWrite> {
  std::vector<RolloutStatusWrite> writes;
  for (const auto& [name, rollout] : rollouts_) {
    const RolloutRecord& record = rollout.record;
    const bool says_it = record.state == rollout.state &&
                         record.state_target == record.order.target_version;
    if (!says_it) {
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
