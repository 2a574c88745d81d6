#ifndef LIBZINNIASTEP_ROLLOUT_ROLLOUTS_H_
#define LIBZINNIASTEP_ROLLOUT_ROLLOUTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/random.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/cascade/quality_model.h"
#include "libzinniastep/configuration/snapshot.h"
#include "libzinniastep/core/cluster_view.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/rollout/alarm_table.h"
#include "libzinniastep/rollout/change_detector.h"
#include "libzinniastep/rollout/evidence_collector.h"
#include "libzinniastep/rollout/evidence_table.h"
#include "libzinniastep/rollout/messages.h"
#include "libzinniastep/rollout/rollout_proposal.h"
#include "libzinniastep/rollout/rollout_proposer.h"
#include "libzinniastep/rollout/version_chooser.h"

namespace zinniastep {

// Selects the model version that a request runs on during roll-outs, gathers
// evidence about versions, and proposes changes of documents. For each model,
// one host, the collector, sums the evidence of all hosts and proposes changes.
// Every host raises alarms on its own as soon as its evidence suffices.
class Rollouts {
 public:
  // `quality` holds the statistics of the cascades; its sums are sent along
  // with the evidence.
  Rollouts(const ConfigurationSnapshot& configuration,
           const ClusterView& cluster,
           QualityModel& quality,
           std::uint64_t seed);

  // Returns the version for a request, or nothing when no version of the model
  // is serving. A session stays on its version unless the version is withdrawn.
  [[nodiscard]] auto ResolveVersion(const VersionQuery& query) const
      -> std::optional<ModelVersion>;

  // Returns whether an alarm keeps new work of this account and task class from
  // the version on this host.
  [[nodiscard]] auto IsHeld(const ModelVersion& version,
                            const ClientAccountId& account,
                            const TaskClassId& task_class) const -> bool;

  // Returns whether a roll-out of the version is running, so that its answers
  // should be rated more often than others.
  [[nodiscard]] auto IsOnTrial(const ModelVersion& version) const -> bool;

  // Counts the end of an attempt.
  auto OnAnswer(const AnswerEvidence& evidence) -> void;

  // Counts a rating in [0, 1] of an answer.
  auto OnRating(const ModelVersion& version,
                const ClientAccountId& account,
                const TaskClassId& task_class,
                double rating) -> void;

  // Evaluates the evidence, exchanges it with the collectors and returns the
  // proposed changes of documents. A proposal is repeated until the document
  // contains the change.
  auto OnTime(Instant now, Effects& effects) -> std::vector<RolloutProposal>;

  // Processes evidence, totals or an alarm from another host.
  auto OnMessage(Instant now,
                 const PeerRef& from,
                 const EvidenceMessage& message,
                 Effects& effects) -> void;

 private:
  // Returns the live host that collects the evidence about a model, collector
  // by rendezvous hashing, or null when no host is live.
  [[nodiscard]] auto CollectorOf(std::string_view model) const
      -> const HostIdentity*;
  // Returns whether the version is the old or the new one of a running
  // roll-out.
  [[nodiscard]] auto IsCompared(const ModelVersion& version) const -> bool;
  // Returns whether this host collects the evidence about the model.
  [[nodiscard]] auto IsCollectorOf(std::string_view model) const -> bool;
  [[nodiscard]] auto DocumentGeneration(const ModelVersion& version) const
      -> std::uint64_t;
  auto Restart(const EvidenceScope& scope) -> void;
  auto ApplyDocuments(Effects& effects) -> void;
  auto EvaluateScopes(Instant now, Effects& effects) -> void;
  [[nodiscard]] auto FindScopeRegression(Instant now,
                                         const EvidenceScope& scope)
      -> std::optional<std::string>;
  auto ForwardAlarm(const EvidenceAlarm& alarm, Effects& effects) -> void;
  auto AcceptAlarm(const EvidenceAlarm& alarm, Effects& effects) -> void;
  auto SendReports(Instant now, Effects& effects) -> void;
  auto SendReport(Instant now, const std::string& model, Effects& effects)
      -> void;
  auto ApplyTotals(const EvidenceTotals& totals) -> void;
  [[nodiscard]] auto Propose(Effects& effects) -> std::vector<RolloutProposal>;

  const ConfigurationSnapshot& configuration_;
  const ClusterView& cluster_;
  QualityModel& quality_;
  Random random_;
  EvidenceTable evidence_;
  EvidenceCollector collector_;
  ChangeDetector change_detector_;
  AlarmTable alarms_;
  VersionChooser chooser_;
  RolloutProposer proposer_;
  // Roll-outs whose start has been processed.
  std::set<RolloutId> started_rollouts_;
  // Revision of this host's newest report that a collector has answered, by
  // model.
  std::map<std::string, std::uint64_t> totals_revisions_;
  std::uint64_t revision_ = 0;
  Instant evaluated_at_{};
  Instant reported_at_{};
  Instant proposed_at_{};
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_ROLLOUT_ROLLOUTS_H_
