#ifndef LIBZINNIASTEP_ROLLOUT_CHANGE_DETECTOR_H_
#define LIBZINNIASTEP_ROLLOUT_CHANGE_DETECTOR_H_

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "libzinniastep/base/time.h"
#include "libzinniastep/rollout/evidence.h"

namespace zinniastep {

// Detects that a version without a running roll-out has become worse. Keeps the
// sums at several points in time and compares the answers after each point with
// the answers before it.
class ChangeDetector {
 public:
  // Adds the scope's current sums to its history, at most once per interval.
  auto OnTotal(Instant now,
               const EvidenceScope& scope,
               const EvidenceSums& total) -> void;

  // Returns the signal in which the scope's recent answers are worse than its
  // earlier ones, or nothing.
  [[nodiscard]] auto FindRegression(const EvidenceScope& scope,
                                    const EvidenceSums& total) const
      -> std::optional<std::string>;

  // Clears the history of a scope.
  auto Forget(const EvidenceScope& scope) -> void;

 private:
  // The sums of one scope over time, oldest first.
  struct History {
    Instant updated_at{};
    std::deque<EvidenceSums> points;
  };

  std::map<EvidenceScope, History> histories_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_ROLLOUT_CHANGE_DETECTOR_H_
