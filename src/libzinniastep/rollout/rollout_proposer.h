#ifndef LIBZINNIASTEP_ROLLOUT_ROLLOUT_PROPOSER_H_
#define LIBZINNIASTEP_ROLLOUT_ROLLOUT_PROPOSER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/configuration/document.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/rollout/alarm_table.h"
#include "libzinniastep/rollout/evidence_table.h"
#include "libzinniastep/rollout/rollout_proposal.h"

namespace zinniastep {

// Proposes changes of documents based on evidence and alarms. A roll-out
// advances when its step has enough answers and the evidence shows the new
// version to be good with enough confidence. The roll-out is held when the new
// version is bad for a part of the traffic, and the version is withdrawn when
// it is bad for all traffic.
class RolloutProposer {
 public:
  RolloutProposer(const EvidenceTable& evidence, const AlarmTable& alarms);

  // Returns the next proposed change of the roll-out, or nothing. Logs
  // "rollout_waits" when the reason for not advancing changes.
  [[nodiscard]] auto ForRollout(const Document& document,
                                const RolloutRule& rollout,
                                Effects& effects)
      -> std::optional<RolloutProposal>;

  // Returns a proposal to withdraw a version that has an alarm about all of its
  // answers, provided that another version of the model is active.
  [[nodiscard]] auto ForVersion(const Document& document,
                                const VersionRule& rule) const
      -> std::optional<RolloutProposal>;

 private:
  // The current step of a roll-out and the candidate's number of answers when
  // the step began.
  struct StepStart {
    std::uint32_t step = 0;
    double answers = 0.0;
  };

  // Returns why the roll-out may not leave its current step yet, or nothing
  // when it may.
  [[nodiscard]] auto FindStepWaitReason(const RolloutRule& rollout)
      -> std::optional<std::string>;

  const EvidenceTable& evidence_;
  const AlarmTable& alarms_;
  std::map<RolloutId, StepStart> step_starts_;
  // The last logged reason for which each roll-out waits.
  std::map<RolloutId, std::string> logged_wait_reasons_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_ROLLOUT_ROLLOUT_PROPOSER_H_
