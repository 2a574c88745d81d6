#ifndef LIBZINNIASTEP_GATEWAY_CONFIDENCE_TALLY_H_
#define LIBZINNIASTEP_GATEWAY_CONFIDENCE_TALLY_H_

#include <array>
#include <cstdint>

#include "libzinniastep/base/time.h"
#include "libzinniastep/cascade/quality_model.h"

namespace zinniastep {

// Decayed counts of the answers of one model by their confidence, in the bins
// of QualityCell, and the sum of the times until they began. Tallies of
// different hosts add up in any order.
struct ConfidenceTally {
  std::array<double, kConfidenceBins> seen{};
  double answers = 0.0;
  double start_seconds = 0.0;

  auto operator+=(const ConfidenceTally& other) -> ConfidenceTally&;

  // Counts an answer with a confidence from 0 to 100 that began after `took`.
  auto Record(std::uint32_t confidence, Duration took) -> void;

  // Multiplies all sums by a factor below one, so that old answers lose weight.
  auto Decay(double factor) -> void;

  // Returns the decayed number of answers with less than this confidence, from
  // 0 to 100. Answers count as spread evenly within a bin.
  [[nodiscard]] auto AnswersBelow(double confidence) const -> double;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_CONFIDENCE_TALLY_H_
