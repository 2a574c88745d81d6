#ifndef LIBZINNIASTEP_OPERATIONS_EDITS_H_
#define LIBZINNIASTEP_OPERATIONS_EDITS_H_

#include <string>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/configuration/document.h"
#include "libzinniastep/operations/record_change.h"

namespace zinniastep {

// Returns the edit that takes a failure domain out or brings it back.
[[nodiscard]] auto SetDomainState(const FailureDomainId& domain,
                                  FailureDomainState state) -> RecordEdit;

// Returns the edit that withdraws a version, and holds the roll-outs that
// bring it in.
[[nodiscard]] auto WithdrawVersion(const ModelVersion& version,
                                   const std::string& reason,
                                   bool bad) -> RecordEdit;

// Returns the edit that holds a roll-out, or resumes it at its step.
[[nodiscard]] auto SetRolloutState(const RolloutId& rollout,
                                   RolloutRule::State state,
                                   const std::string& reason) -> RecordEdit;

// Returns the edit that makes a backend server leave, or come back.
[[nodiscard]] auto SetServerLeaving(const BackendServerId& server, bool leaving)
    -> RecordEdit;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_OPERATIONS_EDITS_H_
