#include "libzinniastep/gateway/confidence_tally.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace zinniastep {

namespace {

// Confidences are whole percentages.
constexpr double kFullConfidence = 100.0;

}  // namespace

auto ConfidenceTally::operator+=(const ConfidenceTally& other)
    -> ConfidenceTally& {
  for (std::size_t bin = 0; bin < kConfidenceBins; ++bin) {
    seen[bin] += other.seen[bin];
  }
  answers += other.answers;
  start_seconds += other.start_seconds;
  return *this;
}

auto ConfidenceTally::Record(std::uint32_t confidence, Duration took) -> void {
  seen[ConfidenceBin(confidence / kFullConfidence)] += 1.0;
  answers += 1.0;
  start_seconds += std::chrono::duration<double>(took).count();
}

auto ConfidenceTally::Decay(double factor) -> void {
  for (double& count : seen) {
    count *= factor;
  }
  answers *= factor;
  start_seconds *= factor;
}

auto ConfidenceTally::AnswersBelow(double confidence) const -> double {
  const double bins = std::clamp(confidence / kFullConfidence, 0.0, 1.0) *
                      static_cast<double>(kConfidenceBins);
  double below = 0.0;
  for (std::size_t bin = 0; bin < kConfidenceBins; ++bin) {
    below += seen[bin] * std::clamp(bins - static_cast<double>(bin), 0.0, 1.0);
  }
  return below;
}

}  // namespace zinniastep
