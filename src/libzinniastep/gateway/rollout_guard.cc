#include "libzinniastep/gateway/rollout_guard.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace zinniastep {

namespace {

// Logarithm of the odds of a fault at or below which a route counts as sound:
// one in fifty, reached after some twelve successful answers and no failure. A
// fault may affect a single route. Routes on which the other versions have
// fewer answers than kBusyRouteAnswers are not checked.
constexpr double kSoundLogOdds = -4.0;
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
  // Largest logarithm of the odds that the target is slow, counting sends under
  // way. The last stage leaves little time to revert a fault that shows late.
  double max_slow_odds;
};
constexpr std::array<Stage, 3> kStages = {
    {{0.52, 0.1, 0, 0.0}, {0.62, 0.35, 6, 0.0}, {0.7, 1.0, 16, -6.0}}};
// Delay between the decision to raise a share and its effect, since a change
// reaches all hosts in several hops from peer to peer.
constexpr Duration kShareChangeDelay = std::chrono::milliseconds(900);
// Fraction of the duration from which a roll-out without a fault may complete.
// A verdict cannot be undone once the servers of the earlier versions are gone,
// so most of the second half is used to collect evidence. The rest covers hosts
// that learned of the order later and a slow store.
constexpr double kCompletionFraction = 0.88;
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

// With all sessions on the target no other version shows whether all would be
// slow now. Answers that were held back and come at once do not go on for this
// long; those of a slow version do.
constexpr Duration kConfirmationTime = std::chrono::milliseconds(700);

// Sends of the other versions that are needed to tell which delays are usual,
// and the share of them that may exceed a delay that counts as unusual.
constexpr std::uint32_t kMinJudgedSends = 20;
constexpr double kUsualSlowRate = 0.05;
// A slow version exceeds a delay in this part of the requests that the others
// answer sooner.
constexpr double kFaultySlowPart = 0.5;
// Odds of a delay that many of the others exceed speak against the target only
// from here on.
constexpr double kSuspectLogOdds = 3.0;
// Subtracted from the largest odds of several delays, any of which may exceed
// the bound by chance.
constexpr double kSeveralDelaysLogOdds = 2.0;
// Delays that most sends of the others exceed tell little.
constexpr double kMaxComparedRate = 0.5;
// Logarithm of the odds of slow answers at or below which a route counts as
// sound.
constexpr double kSoundSlowLogOdds = -2.0;

// Logarithm of the odds that events happen at the faulty rate rather than at
// the baseline.
auto LogOdds(double events, double others, double faulty, double baseline)
    -> double {
  return events * std::log(faulty / baseline) +
         others * std::log((1.0 - faulty) / (1.0 - baseline));
}

auto FailureLogOdds(const VersionCounts& target, const VersionCounts& others)
    -> double {
  const double baseline =
      std::clamp(others.answers == 0 ? 0.0
                                     : static_cast<double>(others.failures) /
                                           static_cast<double>(others.answers),
                 kMinBaselineRate, kFaultyRate / 2.0);
  return LogOdds(static_cast<double>(target.failures),
                 static_cast<double>(target.answers - target.failures),
                 std::max(kFaultyRate, baseline * 3.0), baseline);
}

// Returns the logarithm of the odds that the target is slower than the others,
// by the delay that is unusual for these and, if they speak against the target,
// by the delays that more of the others exceed. Nothing if the others do not
// show what is usual.
auto SlowLogOdds(const VersionCounts& target,
                 const VersionCounts& others,
                 OpenSends open_sends) -> std::optional<double> {
  double largest = 0.0;
  for (std::size_t step = 0; step < kDelaySteps; ++step) {
    const std::uint32_t judged = others.slower[step] + others.faster[step];
    if (judged < kMinJudgedSends) {
      return std::nullopt;
    }
    const double rate = std::max(
        static_cast<double>(others.slower[step]) / judged, kUsualSlowRate);
    if (rate > kMaxComparedRate) {
      continue;
    }
    const std::uint32_t slower =
        target.slower[step] +
        (open_sends == OpenSends::kIncluded ? target.waiting[step] : 0);
    const double odds = LogOdds(slower, target.faster[step],
                                rate + (1.0 - rate) * kFaultySlowPart, rate);
    largest = std::max(largest, odds);
    if (rate <= kUsualSlowRate) {
      return largest > kSuspectLogOdds
                 ? std::max(odds, largest - kSeveralDelaysLogOdds)
                 : odds;
    }
  }
  return std::nullopt;
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

// Counts of a version and of the others of its service.
struct ComparedCounts {
  VersionCounts target;
  VersionCounts others;
};

using ComparedRoutes = std::map<std::string, ComparedCounts>;

auto CompareRoutes(const VersionEvidence& evidence,
                   const ServiceId& service,
                   const std::string& version) -> ComparedRoutes {
  ComparedRoutes routes;
  for (const auto& [key, counts] : evidence) {
    if (key.service == service) {
      ComparedCounts& route = routes[key.route];
      (key.version == version ? route.target : route.others).Add(counts);
    }
  }
  return routes;
}

auto SumOf(const ComparedRoutes& routes) -> ComparedCounts {
  ComparedCounts sum;
  for (const auto& [route, counts] : routes) {
    sum.target.Add(counts.target);
    sum.others.Add(counts.others);
  }
  return sum;
}

// Returns the logarithm of the odds that the target is slow to begin its
// answers, or slow in its streams, whichever is larger, by all routes, each of
// which has its own usual delay; nothing if no route shows it.
auto SlowLogOdds(const ComparedRoutes& routes, OpenSends open_sends)
    -> std::optional<double> {
  std::optional<double> delay;
  std::optional<double> pace;
  for (const auto& [route, counts] : routes) {
    const auto odds = SlowLogOdds(counts.target, counts.others, open_sends);
    if (odds.has_value()) {
      auto& sum = route.ends_with(kPaceSuffix) ? pace : delay;
      sum = sum.value_or(0.0) + *odds;
    }
  }
  // An empty value is less than any other.
  return std::max(delay, pace);
}

// Returns whether the version is sound on each route on which the other
// versions of its service have at least kBusyRouteAnswers answers.
auto IsSoundOnAllRoutes(const ComparedRoutes& routes) -> bool {
  return std::ranges::all_of(routes, [](const auto& item) {
    const auto& [target, others] = item.second;
    return others.answers < kBusyRouteAnswers ||
           (FailureLogOdds(target, others) <= kSoundLogOdds &&
            SlowLogOdds(target, others, OpenSends::kIncluded)
                    .value_or(kSoundSlowLogOdds) <= kSoundSlowLogOdds);
  });
}

}  // namespace

auto FindVersionFault(const VersionEvidence& evidence,
                      const ServiceId& service,
                      const std::string& version)
    -> std::optional<TargetFault> {
  using enum TargetFault::Kind;
  const ComparedRoutes routes = CompareRoutes(evidence, service, version);
  const ComparedCounts sum = SumOf(routes);
  if (FailureLogOdds(sum.target, sum.others) > kFaultLogOdds) {
    return TargetFault{kFailures, "failures"};
  }
  if (IsSlow(sum.target, sum.others) ||
      SlowLogOdds(routes, OpenSends::kLeftOut).value_or(0.0) > kFaultLogOdds) {
    return TargetFault{kSlow, "slow"};
  }
  for (const auto& [route, counts] : routes) {
    const auto& [target, others] = counts;
    if (FailureLogOdds(target, others) > kFaultLogOdds) {
      return TargetFault{kFailures, "failures on route " + route};
    }
    if (IsSlow(target, others) ||
        SlowLogOdds(target, others, OpenSends::kLeftOut).value_or(0.0) >
            kFaultLogOdds) {
      return TargetFault{kSlow, "slow on route " + route};
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
      rollout.recorded.reset();
    }
    if (record.state.has_value() &&
        record.state_target == record.order.target_version) {
      rollout.recorded = record.state;
    }
    if (record.settled.has_value()) {
      rollout.state = *record.settled;
      rollout.recorded = record.settled;
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

auto RolloutGuard::IsConfirmed(Instant now,
                               const VersionEvidence& evidence,
                               OpenSends open_sends,
                               Rollout& rollout) -> bool {
  if (rollout.share < 1.0) {
    return true;
  }
  if (!rollout.suspicion.has_value()) {
    rollout.suspicion = Suspicion{now, evidence};
    return false;
  }
  if (now - rollout.suspicion->since < kConfirmationTime) {
    return false;
  }
  const RolloutOrder& order = rollout.record.order;
  VersionEvidence since = evidence;
  for (auto& [key, counts] : since) {
    const auto before = rollout.suspicion->evidence.find(key);
    if (key.version == order.target_version &&
        before != rollout.suspicion->evidence.end()) {
      const auto waiting = counts.waiting;
      counts.Subtract(before->second);
      counts.waiting = waiting;
    }
  }
  rollout.suspicion = Suspicion{now, evidence};
  return SlowLogOdds(CompareRoutes(since, order.service, order.target_version),
                     open_sends)
             .value_or(0.0) > 0.0;
}

auto RolloutGuard::Advance(Instant now,
                           const VersionEvidence& evidence,
                           Rollout& rollout) -> void {
  const RolloutOrder& order = rollout.record.order;
  const auto fault =
      FindVersionFault(evidence, order.service, order.target_version);
  if (fault.has_value() &&
      (fault->kind == TargetFault::Kind::kFailures ||
       IsConfirmed(now, evidence, OpenSends::kLeftOut, rollout))) {
    rollout.state = RolloutState::kReverted;
    rollout.reason = fault->text;
    return;
  }
  const ComparedRoutes routes =
      CompareRoutes(evidence, order.service, order.target_version);
  const std::uint64_t answers = SumOf(routes).target.answers;
  const auto slow_odds = SlowLogOdds(routes, OpenSends::kIncluded);
  const Duration elapsed = now - rollout.started_at;
  const double progress =
      std::chrono::duration<double>(elapsed) /
      std::chrono::duration<double>(std::max(order.duration, Duration(1)));
  const bool seems_slow = progress >= kCompletionFraction &&
                          slow_odds.value_or(0.0) > kFaultLogOdds;
  if (!fault.has_value() && !seems_slow) {
    rollout.suspicion.reset();
  }
  if (!fault.has_value() && seems_slow &&
      IsConfirmed(now, evidence, OpenSends::kIncluded, rollout)) {
    rollout.state = RolloutState::kReverted;
    rollout.reason = "slow, with answers that have not begun";
    return;
  }
  double stage_share = 0.0;
  for (const Stage& stage : kStages) {
    if (progress >= stage.start_fraction && answers >= stage.min_answers &&
        slow_odds.value_or(stage.max_slow_odds) <= stage.max_slow_odds) {
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
      IsSoundOnAllRoutes(routes)) {
    rollout.state = RolloutState::kComplete;
    rollout.reason = "no fault in " + std::to_string(answers);
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
    if (!is_recorded && record.in_store) {
      writes.push_back({name, record.revision, record.order.target_version,
                        rollout.state, rollout.reason,
                        rollout.recorded == rollout.state});
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
