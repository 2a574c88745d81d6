#ifndef LIBZINNIASTEP_ROLLOUT_EVIDENCE_JUDGE_H_
#define LIBZINNIASTEP_ROLLOUT_EVIDENCE_JUDGE_H_

#include <optional>
#include <string>

#include "libzinniastep/rollout/evidence.h"

namespace zinniastep {

// Tolerated differences between two versions and the required confidence.
struct EvidenceLimits {
  double tolerated_error_rate = 0.005;
  double tolerated_quality_loss = 0.02;
  // Factors by which first-token time and answer length may change.
  double tolerated_slowdown = 1.5;
  double tolerated_length_change = 1.5;
  // Probability of a false alarm over the whole duration of the test.
  double false_alarm_probability = 0.01;
  // Whether first-token time and answer length are compared. Both depend on
  // load and on the mix of requests, so they need a baseline from the same
  // time.
  bool compare_timing = true;
};

// Returns the signal in which the candidate is worse than the baseline, or
// nothing while the evidence does not suffice. May be called at any time and
// any number of times without raising the probability of a false alarm.
// `concurrent` is the part of the baseline from the candidate's time: a signal
// that became worse for both versions is not evidence against the candidate.
[[nodiscard]] auto FindRegression(const EvidenceSums& candidate,
                                  const EvidenceSums& baseline,
                                  const EvidenceSums& concurrent,
                                  const EvidenceLimits& limits)
    -> std::optional<std::string>;

// Returns why the candidate may not receive more traffic yet, or nothing when
// it may. `slack` multiplies the tolerated differences: early steps, which
// expose little traffic, require less certainty than late ones.
[[nodiscard]] auto FindWaitReason(const EvidenceSums& candidate,
                                  const EvidenceSums& baseline,
                                  const EvidenceLimits& limits,
                                  double slack) -> std::optional<std::string>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_ROLLOUT_EVIDENCE_JUDGE_H_
