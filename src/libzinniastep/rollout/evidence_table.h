#ifndef LIBZINNIASTEP_ROLLOUT_EVIDENCE_TABLE_H_
#define LIBZINNIASTEP_ROLLOUT_EVIDENCE_TABLE_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/rollout/evidence.h"
#include "libzinniastep/rollout/messages.h"

namespace zinniastep {

// Evidence sums by scope: those of this host, and those of all other hosts as
// last received from the collectors. The number of scopes is bounded; beyond
// the bound, only the sums over all accounts and task classes are kept.
class EvidenceTable {
 public:
  // Counts the end of an attempt in all scopes that contain the attempt.
  auto OnAnswer(const AnswerEvidence& evidence) -> void;

  // Counts a rating in [0, 1] in all scopes that contain the answer.
  auto OnRating(const EvidenceScope& scope, double rating) -> void;

  // Returns this host's sums for a scope plus the last received sums of all
  // other hosts.
  [[nodiscard]] auto Total(const EvidenceScope& scope) const -> EvidenceSums;

  // Returns the sums since the last Restart of the scope.
  [[nodiscard]] auto SinceRestart(const EvidenceScope& scope) const
      -> EvidenceSums;

  // Returns the sums that another version is compared with. Errors and ratings
  // cover all time; first-token times and answer lengths cover only the time
  // since the restart, because they depend on load and on the mix of requests.
  [[nodiscard]] auto Baseline(const EvidenceScope& scope) const -> EvidenceSums;

  // Excludes the scope's evidence up to now from SinceRestart.
  auto Restart(const EvidenceScope& scope) -> void;

  // Returns the version-wide scope of each version that has evidence.
  [[nodiscard]] auto Versions() const -> std::vector<EvidenceScope>;

  // Returns the scopes whose sums changed since the last call.
  [[nodiscard]] auto TakeChanged() -> std::set<EvidenceScope>;

  // Returns this host's own sums for a model: the rows of all of its versions,
  // then rows of narrower scopes in round-robin order until there are
  // `max_rows` rows.
  [[nodiscard]] auto OwnRows(const std::string& model, std::size_t max_rows)
      -> std::vector<EvidenceRow>;

  // Replaces the sums of all other hosts for the scopes in `rows`.
  auto ReplaceOthers(const std::vector<EvidenceRow>& rows) -> void;

 private:
  // Returns the scopes in which an observation of the scope is counted: all
  // answers of the version, those to the account and those of the task class.
  // Leaves out new narrow scopes once the table is full.
  [[nodiscard]] auto ContainingScopes(const EvidenceScope& scope) const
      -> std::vector<EvidenceScope>;

  std::map<EvidenceScope, EvidenceSums> own_;
  std::map<EvidenceScope, EvidenceSums> others_;
  // Sums of each restarted scope at the time of its last restart.
  std::map<EvidenceScope, EvidenceSums> sums_at_restart_;
  std::set<EvidenceScope> changed_;
  // The narrow scope that OwnRows returned last, by model.
  std::map<std::string, EvidenceScope> last_sent_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_ROLLOUT_EVIDENCE_TABLE_H_
