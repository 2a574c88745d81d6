#ifndef LIBZINNIASTEP_ROLLOUT_SEQUENTIAL_TEST_H_
#define LIBZINNIASTEP_ROLLOUT_SEQUENTIAL_TEST_H_

#include "libzinniastep/rollout/evidence.h"

namespace zinniastep {

// Returns the logarithm of the evidence that the true mean of the observations
// exceeds `mean`. The evidence is an e-process: if the true mean is at most
// `mean`, the probability that the returned value ever exceeds log(1 / alpha)
// is at most alpha, however often the test is evaluated. The e-process is the
// wealth of a bettor against `mean` (Waudby-Smith and Ramdas, 2024), averaged
// over a grid of constant bets. The counts are sufficient to compute it:
// dividing an observation between grid points never raises the wealth, because
// the logarithm of the wealth is concave.
[[nodiscard]] auto LogEvidenceAbove(const SignalCounts& counts, double mean)
    -> double;

// Returns an upper confidence bound: the probability that the true mean ever
// exceeds the bound is at most alpha, however often the bound is evaluated.
[[nodiscard]] auto UpperBound(const SignalCounts& counts, double alpha)
    -> double;

// Returns the logarithm of the evidence that the candidate's mean exceeds the
// baseline's by more than `tolerated`. The candidate is compared with the upper
// confidence bound of the baseline's mean at `alpha`.
[[nodiscard]] auto LogEvidenceWorse(const SignalCounts& candidate,
                                    const SignalCounts& baseline,
                                    double tolerated,
                                    double alpha) -> double;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_ROLLOUT_SEQUENTIAL_TEST_H_
