#include "libzinniastep/rollout/sequential_test.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace zinniastep {

namespace {

// Bets, as fractions of the largest bet that cannot lose more than the whole
// wealth.
constexpr std::array<double, 10> kBets = {0.9,  0.7,  0.5,  0.35, 0.25,
                                          0.15, 0.08, 0.04, 0.02, 0.01};
constexpr double kMinMean = 1e-4;
// Number of bisection steps in the search for a bound.
constexpr int kBisectionSteps = 14;

}  // namespace

auto LogEvidenceAbove(const SignalCounts& counts, double mean) -> double {
  const double hypothesis = std::clamp(mean, kMinMean, 1.0 - kMinMean);
  std::array<double, kBets.size()> log_wealth{};
  for (std::size_t bet = 0; bet < kBets.size(); ++bet) {
    const double stake = kBets[bet] / hypothesis;
    for (std::size_t i = 0; i <= kSignalSteps; ++i) {
      const double value = static_cast<double>(i) / kSignalSteps;
      if (counts.points()[i] > 0.0) {
        log_wealth[bet] +=
            counts.points()[i] * std::log1p(stake * (value - hypothesis));
      }
    }
  }
  const double largest = *std::ranges::max_element(log_wealth);
  double total = 0.0;
  for (const double bet_log_wealth : log_wealth) {
    total += std::exp(bet_log_wealth - largest);
  }
  return largest + std::log(total / static_cast<double>(kBets.size()));
}

auto UpperBound(const SignalCounts& counts, double alpha) -> double {
  const SignalCounts mirrored = counts.Mirrored();
  double low = counts.mean();
  double high = 1.0;
  for (int i = 0; i < kBisectionSteps; ++i) {
    const double middle = (low + high) / 2.0;
    const bool excluded =
        LogEvidenceAbove(mirrored, 1.0 - middle) > -std::log(alpha);
    (excluded ? high : low) = middle;
  }
  return high;
}

auto LogEvidenceWorse(const SignalCounts& candidate,
                      const SignalCounts& baseline,
                      double tolerated,
                      double alpha) -> double {
  if (candidate.mean() <= baseline.mean() + tolerated) {
    return 0.0;
  }
  const double mean = UpperBound(baseline, alpha) + tolerated;
  return candidate.mean() <= mean ? 0.0 : LogEvidenceAbove(candidate, mean);
}

}  // namespace zinniastep
