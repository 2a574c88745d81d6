#include "libzinniastep/rollout/rollouts.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "libzinniastep/base/hash.h"
#include "libzinniastep/base/overloaded.h"
#include "libzinniastep/rollout/evidence_judge.h"

namespace zinniastep {

namespace {

constexpr Duration kEvaluationInterval = std::chrono::milliseconds(200);
constexpr Duration kProposeInterval = std::chrono::seconds(1);
constexpr Duration kMinReportInterval = std::chrono::seconds(2);
constexpr Duration kReportIntervalPerHost = std::chrono::milliseconds(10);
constexpr std::size_t kMaxEvidenceRows = 12;    // per report
constexpr std::size_t kMaxQualityRows = 4;      // per report
constexpr std::size_t kAlarmFanOut = 6;         // hosts
constexpr std::size_t kMaxBroadcastHosts = 16;  // hosts
constexpr std::uint64_t kCollectorSeed = 0x636f6c6c;
// A roll-out's probability of a false alarm is split into two halves of this
// size: one for the scope of all answers of the version, the other for the
// scopes of a single account or task class, each of which gets an equal part.
constexpr double kFalseAlarmProbability = 0.005;
constexpr double kNarrowScopeCount = 16.0;

auto VersionScope(const ModelVersion& version) -> EvidenceScope {
  return {version, {}, {}};
}

auto FindRunning(const ConfigurationSnapshot& configuration,
                 const ModelVersion& to) -> const RolloutRule* {
  for (const auto& [team, document] : configuration.documents) {
    for (const RolloutRule& rollout : document.rollouts) {
      if (rollout.model == to.model && rollout.to_version == to.version &&
          rollout.state == RolloutRule::State::kRunning) {
        return &rollout;
      }
    }
  }
  return nullptr;
}

auto Describe(const EvidenceScope& scope, const std::string& regression)
    -> std::string {
  std::string text = regression + " of " + ToString(scope.version);
  text += scope.account.empty() ? "" : " for " + scope.account.text();
  text += scope.task_class.empty() ? "" : " in " + scope.task_class.text();
  return text;
}

}  // namespace

Rollouts::Rollouts(const ConfigurationSnapshot& configuration,
                   const ClusterView& cluster,
                   QualityModel& quality,
                   std::uint64_t seed)
    : configuration_(configuration),
      cluster_(cluster),
      quality_(quality),
      random_(seed),
      chooser_(configuration, alarms_),
      proposer_(evidence_, alarms_) {}

auto Rollouts::ResolveVersion(const VersionQuery& query) const
    -> std::optional<ModelVersion> {
  return chooser_.Choose(query);
}

auto Rollouts::IsHeld(const ModelVersion& version,
                      const ClientAccountId& account,
                      const TaskClassId& task_class) const -> bool {
  return alarms_.Find(version, account, task_class) != nullptr;
}

auto Rollouts::IsOnTrial(const ModelVersion& version) const -> bool {
  return FindRunning(configuration_, version) != nullptr;
}

auto Rollouts::IsCompared(const ModelVersion& version) const -> bool {
  for (const auto& [team, document] : configuration_.documents) {
    for (const RolloutRule& rollout : document.rollouts) {
      if (rollout.state == RolloutRule::State::kRunning &&
          rollout.model == version.model &&
          (rollout.from_version == version.version ||
           rollout.to_version == version.version)) {
        return true;
      }
    }
  }
  return false;
}

auto Rollouts::OnAnswer(const AnswerEvidence& evidence) -> void {
  if (evidence.broken && !IsCompared(evidence.version)) {
    return;
  }
  evidence_.OnAnswer(evidence);
}

auto Rollouts::OnRating(const ModelVersion& version,
                        const ClientAccountId& account,
                        const TaskClassId& task_class,
                        double rating) -> void {
  evidence_.OnRating({version, account, task_class}, rating);
}

auto Rollouts::CollectorOf(std::string_view model) const
    -> const HostIdentity* {
  const HostIdentity* collector = nullptr;
  std::uint64_t highest_weight = 0;
  const std::uint64_t salt = StableHash(model, kCollectorSeed);
  for (const HostIdentity& host : cluster_.live_hosts()) {
    const std::uint64_t weight = StableHash(host.host.text(), salt);
    if (collector == nullptr || weight > highest_weight) {
      collector = &host;
      highest_weight = weight;
    }
  }
  return collector;
}

auto Rollouts::IsCollectorOf(std::string_view model) const -> bool {
  const HostIdentity* collector = CollectorOf(model);
  return collector == nullptr || collector->host == cluster_.self().host;
}

auto Rollouts::DocumentGeneration(const ModelVersion& version) const
    -> std::uint64_t {
  for (const auto& [team, document] : configuration_.documents) {
    if (std::ranges::find(document.versions, version, &VersionRule::id) !=
        document.versions.end()) {
      return document.generation;
    }
  }
  return 0;
}

auto Rollouts::Restart(const EvidenceScope& scope) -> void {
  evidence_.Restart(scope);
  change_detector_.Forget(scope);
}

auto Rollouts::ApplyDocuments(Effects& effects) -> void {
  for (const auto& [team, document] : configuration_.documents) {
    for (const EvidenceScope& scope : alarms_.OnDocument(document)) {
      Restart(scope);
      effects.Log("alarm_lifted", {{"version", ToString(scope.version)},
                                   {"account", scope.account.text()},
                                   {"task_class", scope.task_class.text()}});
    }
    for (const RolloutRule& rollout : document.rollouts) {
      if (rollout.state == RolloutRule::State::kRunning &&
          started_rollouts_.insert(rollout.id).second) {
        Restart(VersionScope({rollout.model, rollout.from_version}));
        Restart(VersionScope({rollout.model, rollout.to_version}));
      }
    }
  }
}

auto Rollouts::FindScopeRegression(Instant now, const EvidenceScope& scope)
    -> std::optional<std::string> {
  const RolloutRule* rollout = FindRunning(configuration_, scope.version);
  if (rollout == nullptr) {
    const EvidenceSums total = evidence_.SinceRestart(scope);
    auto regression = change_detector_.FindRegression(scope, total);
    if (!regression) {
      change_detector_.OnTotal(now, scope, total);
    }
    return regression;
  }
  EvidenceScope baseline = scope;
  baseline.version.version = rollout->from_version;
  EvidenceLimits limits;
  limits.tolerated_quality_loss = rollout->tolerated_quality_loss;
  limits.false_alarm_probability =
      scope.IsVersionWide() ? kFalseAlarmProbability
                            : kFalseAlarmProbability / kNarrowScopeCount;
  return FindRegression(evidence_.SinceRestart(scope),
                        evidence_.Baseline(baseline),
                        evidence_.SinceRestart(baseline), limits);
}

auto Rollouts::EvaluateScopes(Instant now, Effects& effects) -> void {
  for (const EvidenceScope& scope : evidence_.TakeChanged()) {
    if (alarms_.Find(scope.version, scope.account, scope.task_class) !=
        nullptr) {
      continue;
    }
    if (const auto regression = FindScopeRegression(now, scope)) {
      AcceptAlarm({scope, DocumentGeneration(scope.version),
                   Describe(scope, *regression)},
                  effects);
    }
  }
}

auto Rollouts::AcceptAlarm(const EvidenceAlarm& alarm, Effects& effects)
    -> void {
  if (!alarms_.Raise(alarm)) {
    return;
  }
  effects.Log("version_held", {{"version", ToString(alarm.scope.version)},
                               {"account", alarm.scope.account.text()},
                               {"task_class", alarm.scope.task_class.text()},
                               {"reason", alarm.reason}});
  if (alarm.scope.IsVersionWide()) {
    effects.Tell(VersionAlarmed{alarm.scope.version, alarm.reason});
  }
  ForwardAlarm(alarm, effects);
}

auto Rollouts::ForwardAlarm(const EvidenceAlarm& alarm, Effects& effects)
    -> void {
  const auto& hosts = cluster_.live_hosts();
  const auto send = [&](const HostIdentity& host) {
    if (host.host != cluster_.self().host) {
      effects.Do(
          SendToPeer{host.host, host.peer_address, EvidenceMessage(alarm)});
    }
  };
  if (hosts.size() <= kMaxBroadcastHosts) {
    std::ranges::for_each(hosts, send);
    return;
  }
  for (std::size_t i = 0; i < kAlarmFanOut; ++i) {
    send(hosts[random_.Below(hosts.size())]);
  }
  if (const HostIdentity* collector = CollectorOf(alarm.scope.version.model)) {
    send(*collector);
  }
}

auto Rollouts::SendReports(Instant now, Effects& effects) -> void {
  const auto hosts = static_cast<int>(cluster_.live_hosts().size());
  const Duration interval =
      std::max(kMinReportInterval, kReportIntervalPerHost * hosts);
  if (now - reported_at_ < interval) {
    return;
  }
  reported_at_ = now;
  std::set<std::string> models;
  for (const EvidenceScope& scope : evidence_.Versions()) {
    models.insert(scope.version.model);
  }
  for (const std::string& model : models) {
    SendReport(now, model, effects);
  }
}

auto Rollouts::SendReport(Instant now,
                          const std::string& model,
                          Effects& effects) -> void {
  EvidenceReport report;
  report.model = model;
  report.revision = ++revision_;
  report.rows = evidence_.OwnRows(model, kMaxEvidenceRows);
  report.quality_rows = quality_.OwnRows(model, kMaxQualityRows);
  const HostIdentity* collector = CollectorOf(model);
  if (collector != nullptr && collector->host != cluster_.self().host) {
    effects.Do(SendToPeer{collector->host, collector->peer_address,
                          EvidenceMessage(std::move(report))});
    return;
  }
  const Incarnation self = cluster_.self().incarnation;
  (void)collector_.Collect(now, self, report);
  ApplyTotals(collector_.TotalsWithout(self, model));
}

auto Rollouts::ApplyTotals(const EvidenceTotals& totals) -> void {
  evidence_.ReplaceOthers(totals.rows);
  quality_.ReplaceOthers(totals.quality_rows);
}

auto Rollouts::OnMessage(Instant now,
                         const PeerRef& from,
                         const EvidenceMessage& message,
                         Effects& effects) -> void {
  std::visit(
      Overloaded{
          [](std::monostate) {},
          [&](const EvidenceReport& report) {
            effects.Do(SendToPeer{from.host, from.address,
                                  EvidenceMessage(collector_.Collect(
                                      now, from.incarnation, report))});
          },
          [&](const EvidenceTotals& totals) {
            std::uint64_t& newest = totals_revisions_[totals.model];
            if (totals.revision > newest && totals.revision <= revision_) {
              newest = totals.revision;
              ApplyTotals(totals);
            }
          },
          [&](const EvidenceAlarm& alarm) { AcceptAlarm(alarm, effects); },
      },
      message);
}

auto Rollouts::Propose(Effects& effects) -> std::vector<RolloutProposal> {
  std::vector<RolloutProposal> proposals;
  for (const auto& [team, document] : configuration_.documents) {
    for (const RolloutRule& rollout : document.rollouts) {
      if (IsCollectorOf(rollout.model)) {
        if (auto proposal = proposer_.ForRollout(document, rollout, effects)) {
          proposals.push_back(std::move(*proposal));
        }
      }
    }
    for (const VersionRule& rule : document.versions) {
      if (auto proposal = proposer_.ForVersion(document, rule);
          proposal && IsCollectorOf(rule.id.model)) {
        proposals.push_back(std::move(*proposal));
      }
    }
  }
  return proposals;
}

auto Rollouts::OnTime(Instant now, Effects& effects)
    -> std::vector<RolloutProposal> {
  if (now - evaluated_at_ < kEvaluationInterval) {
    return {};
  }
  evaluated_at_ = now;
  ApplyDocuments(effects);
  SendReports(now, effects);
  collector_.OnTime(now);
  EvaluateScopes(now, effects);
  if (now - proposed_at_ < kProposeInterval) {
    return {};
  }
  proposed_at_ = now;
  return Propose(effects);
}

}  // namespace zinniastep
