#include "libzinniastep/rollout/rollout_proposer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "libzinniastep/rollout/evidence_judge.h"

namespace zinniastep {

namespace {

// The last step multiplies the roll-out's limits by kLastStepSlack; each
// earlier step multiplies the slack of the step after it by kStepSlackRatio.
constexpr double kLastStepSlack = 1.5;
constexpr double kStepSlackRatio = 1.5;
constexpr std::size_t kMaxRollouts = 1024;

auto MakeProposal(RolloutProposal::Kind kind,
                  const Document& document,
                  const RolloutRule& rollout,
                  std::string reason) -> RolloutProposal {
  RolloutProposal proposal;
  proposal.kind = kind;
  proposal.team = document.team;
  proposal.generation = document.generation;
  proposal.rollout = rollout.id;
  proposal.step = rollout.step;
  proposal.version = {rollout.model, rollout.to_version};
  proposal.reason = std::move(reason);
  return proposal;
}

}  // namespace

RolloutProposer::RolloutProposer(const EvidenceTable& evidence,
                                 const AlarmTable& alarms)
    : evidence_(evidence), alarms_(alarms) {}

auto RolloutProposer::FindStepWaitReason(const RolloutRule& rollout)
    -> std::optional<std::string> {
  const EvidenceSums candidate =
      evidence_.SinceRestart({{rollout.model, rollout.to_version}, {}, {}});
  const EvidenceSums baseline =
      evidence_.Baseline({{rollout.model, rollout.from_version}, {}, {}});
  const double answers = candidate.errors.count();
  StepStart& start =
      step_starts_.try_emplace(rollout.id, StepStart{rollout.step, 0.0})
          .first->second;
  if (start.step != rollout.step || answers < start.answers) {
    start = {rollout.step, answers};
  }
  if (answers - start.answers < rollout.least_answers_per_step) {
    return "too few answers";
  }
  EvidenceLimits limits;
  limits.tolerated_quality_loss = rollout.tolerated_quality_loss;
  const auto steps_left =
      static_cast<double>(rollout.steps.size() - rollout.step) - 1.0;
  return FindWaitReason(candidate, baseline, limits,
                        kLastStepSlack * std::pow(kStepSlackRatio, steps_left));
}

auto RolloutProposer::ForRollout(const Document& document,
                                 const RolloutRule& rollout,
                                 Effects& effects)
    -> std::optional<RolloutProposal> {
  if (rollout.state != RolloutRule::State::kRunning ||
      rollout.step >= rollout.steps.size() ||
      step_starts_.size() >= kMaxRollouts) {
    return std::nullopt;
  }
  const ModelVersion version{rollout.model, rollout.to_version};
  if (const EvidenceAlarm* alarm = alarms_.FindAny(version)) {
    return alarm->scope.IsVersionWide()
               ? std::nullopt
               : std::optional(MakeProposal(RolloutProposal::Kind::kHold,
                                            document, rollout, alarm->reason));
  }
  if (const auto wait_reason = FindStepWaitReason(rollout)) {
    std::string& logged_reason = logged_wait_reasons_[rollout.id];
    if (std::exchange(logged_reason, *wait_reason) != *wait_reason) {
      effects.Log("rollout_waits", {{"rollout", rollout.id.text()},
                                    {"step", std::to_string(rollout.step)},
                                    {"reason", *wait_reason}});
    }
    return std::nullopt;
  }
  const bool last = rollout.step + 1 >= rollout.steps.size();
  return MakeProposal(
      last ? RolloutProposal::Kind::kFinish : RolloutProposal::Kind::kAdvance,
      document, rollout, "the evidence allows it");
}

auto RolloutProposer::ForVersion(const Document& document,
                                 const VersionRule& rule) const
    -> std::optional<RolloutProposal> {
  const EvidenceAlarm* alarm = alarms_.FindAny(rule.id);
  const bool other_is_active =
      std::ranges::any_of(document.versions, [&](const VersionRule& other) {
        return other.id.model == rule.id.model && other.id != rule.id &&
               other.state == VersionState::kActive;
      });
  if (rule.state == VersionState::kWithdrawn || alarm == nullptr ||
      !alarm->scope.IsVersionWide() || !other_is_active) {
    return std::nullopt;
  }
  RolloutRule matching;
  matching.model = rule.id.model;
  matching.to_version = rule.id.version;
  for (const RolloutRule& rollout : document.rollouts) {
    if (rollout.model == matching.model &&
        rollout.to_version == matching.to_version) {
      matching = rollout;
    }
  }
  return MakeProposal(RolloutProposal::Kind::kWithdraw, document, matching,
                      alarm->reason);
}

}  // namespace zinniastep
