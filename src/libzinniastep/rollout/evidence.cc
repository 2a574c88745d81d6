#include "libzinniastep/rollout/evidence.h"

#include <algorithm>
#include <numeric>

namespace zinniastep {

auto SignalCounts::Observe(double value) -> void {
  const double grid_position = std::clamp(value, 0.0, 1.0) * kSignalSteps;
  const auto lower_point =
      std::min(kSignalSteps - 1, static_cast<std::size_t>(grid_position));
  const double upper_share = grid_position - static_cast<double>(lower_point);
  points_[lower_point] += 1.0 - upper_share;
  points_[lower_point + 1] += upper_share;
}

auto SignalCounts::operator+=(const SignalCounts& other) -> SignalCounts& {
  for (std::size_t i = 0; i < points_.size(); ++i) {
    points_[i] += other.points_[i];
  }
  return *this;
}

auto SignalCounts::Since(const SignalCounts& earlier) const -> SignalCounts {
  SignalCounts difference;
  for (std::size_t i = 0; i < points_.size(); ++i) {
    difference.points_[i] = std::max(0.0, points_[i] - earlier.points_[i]);
  }
  return difference;
}

auto SignalCounts::Mirrored() const -> SignalCounts {
  SignalCounts mirrored = *this;
  std::ranges::reverse(mirrored.points_);
  return mirrored;
}

auto SignalCounts::count() const -> double {
  return std::accumulate(points_.begin(), points_.end(), 0.0);
}

auto SignalCounts::sum() const -> double {
  double sum = 0.0;
  for (std::size_t i = 0; i < points_.size(); ++i) {
    sum += points_[i] * static_cast<double>(i) / kSignalSteps;
  }
  return sum;
}

auto SignalCounts::mean() const -> double {
  const double total_count = count();
  return total_count > 0.0 ? sum() / total_count : 0.0;
}

auto EvidenceSums::operator+=(const EvidenceSums& other) -> EvidenceSums& {
  errors += other.errors;
  poor_ratings += other.poor_ratings;
  first_token += other.first_token;
  answer_length += other.answer_length;
  return *this;
}

auto EvidenceSums::Since(const EvidenceSums& earlier) const -> EvidenceSums {
  return {errors.Since(earlier.errors),
          poor_ratings.Since(earlier.poor_ratings),
          first_token.Since(earlier.first_token),
          answer_length.Since(earlier.answer_length)};
}

}  // namespace zinniastep
