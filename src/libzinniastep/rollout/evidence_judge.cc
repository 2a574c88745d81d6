#include "libzinniastep/rollout/evidence_judge.h"

#include <array>
#include <cmath>
#include <string_view>

#include "libzinniastep/rollout/sequential_test.h"

namespace zinniastep {

namespace {

// The counts of one signal for the candidate and the baseline. Higher values
// are worse.
struct Comparison {
  std::string_view name;
  SignalCounts candidate;
  SignalCounts baseline;
  double concurrent_mean = 0.0;
  double tolerated = 0.0;
  bool timing = false;
};

// Widths of the logarithmic scales in powers of two. Must match the scales in
// evidence_table.cc.
constexpr double kFirstTokenExponent = 16.0;
constexpr double kLengthExponent = 14.0;
constexpr std::size_t kSignalCount = 5;
// Number of equal parts of the false-alarm probability. Half of the probability
// is reserved for the uncertainty of the baseline.
constexpr double kAlphaParts = 2.0 * kSignalCount;
constexpr double kMinRatings = 10.0;
constexpr double kAdvanceAlpha = 0.2;
// The candidate does not advance while the log evidence against it exceeds this
// limit.
constexpr double kMaxLogEvidenceToAdvance = 1.5;

auto Compare(const EvidenceSums& candidate,
             const EvidenceSums& baseline,
             const EvidenceSums& concurrent,
             const EvidenceLimits& limits)
    -> std::array<Comparison, kSignalCount> {
  const double slowdown =
      std::log2(limits.tolerated_slowdown) / kFirstTokenExponent;
  const double length =
      std::log2(limits.tolerated_length_change) / kLengthExponent;
  return {{
      {"errors", candidate.errors, baseline.errors, concurrent.errors.mean(),
       limits.tolerated_error_rate, false},
      {"poor ratings", candidate.poor_ratings, baseline.poor_ratings,
       concurrent.poor_ratings.mean(), limits.tolerated_quality_loss, false},
      {"slow first tokens", candidate.first_token, baseline.first_token,
       concurrent.first_token.mean(), slowdown, true},
      {"long answers", candidate.answer_length, baseline.answer_length,
       concurrent.answer_length.mean(), length, true},
      {"short answers", candidate.answer_length.Mirrored(),
       baseline.answer_length.Mirrored(),
       concurrent.answer_length.Mirrored().mean(), length, true},
  }};
}

}  // namespace

auto FindRegression(const EvidenceSums& candidate,
                    const EvidenceSums& baseline,
                    const EvidenceSums& concurrent,
                    const EvidenceLimits& limits)
    -> std::optional<std::string> {
  const double alpha = limits.false_alarm_probability / kAlphaParts;
  for (const Comparison& signal :
       Compare(candidate, baseline, concurrent, limits)) {
    if (signal.candidate.count() <= 0.0 ||
        (signal.timing && !limits.compare_timing)) {
      continue;
    }
    if (signal.candidate.mean() <= signal.concurrent_mean + signal.tolerated) {
      continue;
    }
    const double evidence = LogEvidenceWorse(signal.candidate, signal.baseline,
                                             signal.tolerated, alpha);
    if (evidence > -std::log(alpha)) {
      return std::string(signal.name);
    }
  }
  return std::nullopt;
}

auto FindWaitReason(const EvidenceSums& candidate,
                    const EvidenceSums& baseline,
                    const EvidenceLimits& limits,
                    double slack) -> std::optional<std::string> {
  if (candidate.poor_ratings.count() < kMinRatings) {
    return "too few ratings";
  }
  for (const Comparison& signal :
       Compare(candidate, baseline, baseline, limits)) {
    const double allowed = signal.baseline.mean() + slack * signal.tolerated;
    if (signal.baseline.count() > 0.0 &&
        UpperBound(signal.candidate, kAdvanceAlpha) > allowed) {
      return "insufficient confidence about " + std::string(signal.name);
    }
    if (LogEvidenceWorse(signal.candidate, signal.baseline, signal.tolerated,
                         kAdvanceAlpha) > kMaxLogEvidenceToAdvance) {
      return "evidence of " + std::string(signal.name);
    }
  }
  return std::nullopt;
}

}  // namespace zinniastep
