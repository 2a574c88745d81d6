#ifndef LIBZINNIASTEP_REQUEST_INTAKE_H_
#define LIBZINNIASTEP_REQUEST_INTAKE_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libzinniastep/account/account_directory.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/cascade/cascade_planner.h"
#include "libzinniastep/configuration/snapshot.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/request/request.h"
#include "libzinniastep/rollout/rollouts.h"
#include "libzinniastep/session/session_tokens.h"

namespace zinniastep {

// Turns calls into requests: whose account it is, what that may use, and which
// versions the request is to run on.
class Intake {
 public:
  Intake(const ConfigurationSnapshot& configuration,
         const AccountDirectory& accounts,
         const SessionTokens& sessions,
         const Rollouts& rollouts,
         const CascadePlanner& planner);

  // Returns the request, or why it may not run.
  [[nodiscard]] auto Accept(Instant now,
                            const CallArrived& arrival,
                            const RequestId& id) const
      -> std::variant<Request, Refusal>;

  // Plans the versions of a chat request anew; the request has not run. Returns
  // a refusal when no version that the account may use serves any more.
  [[nodiscard]] auto Plan(Request& request) const -> std::optional<Refusal>;

  // Returns whether the account may still run new work on the workload.
  [[nodiscard]] auto MayRun(const ClientAccountId& account,
                            const Workload& workload) const -> bool;

 private:
  using Candidates = std::variant<std::vector<ModelVersion>, Refusal>;

  [[nodiscard]] auto DocumentOf(const Account& account) const
      -> const Document*;
  [[nodiscard]] auto CandidatesFor(const Request& request,
                                   const Account& account,
                                   const Document& document,
                                   const ChatCall& call) const -> Candidates;
  [[nodiscard]] auto ExactCandidate(const Account& account,
                                    const ModelVersion& version) const
      -> Candidates;
  [[nodiscard]] auto ResolveAll(const Request& request,
                                const Account& account,
                                std::span<const std::string> models) const
      -> Candidates;
  [[nodiscard]] auto Resolve(const Request& request,
                             const std::string& model) const
      -> std::optional<ModelVersion>;

  const ConfigurationSnapshot& configuration_;
  const AccountDirectory& accounts_;
  const SessionTokens& sessions_;
  const Rollouts& rollouts_;
  const CascadePlanner& planner_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_REQUEST_INTAKE_H_
