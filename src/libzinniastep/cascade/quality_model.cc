#include "libzinniastep/cascade/quality_model.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace zinniastep {

namespace {

// Number of ratings that a prior counts as.
constexpr double kVersionPriorWeight = 4.0;
constexpr double kPooledPriorWeight = 20.0;
constexpr double kBinPriorWeight = 4.0;
constexpr double kSeenPriorWeight = 20.0;
constexpr Duration kHalfLife = std::chrono::hours(2);
constexpr Duration kDecayInterval = std::chrono::minutes(1);

auto PosteriorMean(double prior, double prior_weight, const QualitySums& sums)
    -> double {
  return (prior * prior_weight + sums.rating) / (prior_weight + sums.weight);
}

auto AddRating(QualitySums& sums, double rating) -> void {
  sums.weight += 1.0;
  sums.rating += rating;
}

// Returns the estimate for all answers of a group.
auto EstimateGroup(const QualityKey& key,
                   const QualityCell& account,
                   const QualityCell& pooled,
                   double prior) -> QualityEstimate {
  double mean = PosteriorMean(prior, kVersionPriorWeight, pooled.all);
  double weight = kVersionPriorWeight + pooled.all.weight;
  if (!key.account.empty()) {
    mean = PosteriorMean(mean, kPooledPriorWeight, account.all);
    weight = std::min(weight, kPooledPriorWeight) + account.all.weight;
  }
  return {mean, std::sqrt(mean * (1.0 - mean) / weight)};
}

// Returns the estimate for the answers of a group in one confidence bin.
auto EstimateBin(std::size_t bin,
                 double overall_mean,
                 const QualityCell& account,
                 const QualityCell& pooled,
                 double prior) -> QualityEstimate {
  const double pooled_mean =
      PosteriorMean(prior, kVersionPriorWeight, pooled.all);
  const double shifted =
      PosteriorMean(pooled_mean, kBinPriorWeight, pooled.bins[bin]) +
      overall_mean - pooled_mean;
  const double mean =
      std::clamp(PosteriorMean(std::clamp(shifted, 0.0, 1.0),
                               kPooledPriorWeight, account.bins[bin]),
                 0.0, 1.0);
  const double weight =
      std::min(kBinPriorWeight + pooled.bins[bin].weight, kPooledPriorWeight) +
      account.bins[bin].weight;
  return {mean, std::sqrt(mean * (1.0 - mean) / weight)};
}

// Returns the share of answers in each confidence bin.
auto Shares(const QualityCell& account, const QualityCell& pooled)
    -> std::array<double, kConfidenceBins> {
  const auto total = [](const QualityCell& cell) {
    return std::accumulate(cell.seen.begin(), cell.seen.end(), 0.0);
  };
  const double pooled_seen = total(pooled);
  const double account_seen = total(account);
  std::array<double, kConfidenceBins> shares{};
  for (std::size_t i = 0; i < kConfidenceBins; ++i) {
    const double prior =
        (1.0 / kConfidenceBins + pooled.seen[i]) / (1.0 + pooled_seen);
    shares[i] = (prior * kSeenPriorWeight + account.seen[i]) /
                (kSeenPriorWeight + account_seen);
  }
  return shares;
}

auto PooledKey(QualityKey key) -> QualityKey {
  key.account = ClientAccountId();
  return key;
}

}  // namespace

auto ConfidenceBin(double confidence) -> std::size_t {
  const double scaled =
      std::clamp(confidence, 0.0, 1.0) * static_cast<double>(kConfidenceBins);
  return std::min(kConfidenceBins - 1, static_cast<std::size_t>(scaled));
}

auto QualityCell::operator+=(const QualityCell& other) -> QualityCell& {
  all.weight += other.all.weight;
  all.rating += other.all.rating;
  for (std::size_t i = 0; i < kConfidenceBins; ++i) {
    bins[i].weight += other.bins[i].weight;
    bins[i].rating += other.bins[i].rating;
    seen[i] += other.seen[i];
  }
  return *this;
}

auto QualityCell::Decay(double factor) -> void {
  all.weight *= factor;
  all.rating *= factor;
  for (std::size_t i = 0; i < kConfidenceBins; ++i) {
    bins[i].weight *= factor;
    bins[i].rating *= factor;
    seen[i] *= factor;
  }
}

QualityModel::QualityModel(std::size_t max_cells) : max_cells_(max_cells) {}

auto QualityModel::FindOrAddOwnCell(const QualityKey& key) -> QualityCell* {
  const auto found = own_.find(key);
  if (found != own_.end()) {
    return &found->second;
  }
  return own_.size() < max_cells_ ? &own_[key] : nullptr;
}

auto QualityModel::OnRating(const QualityKey& key,
                            double rating,
                            double confidence) -> void {
  for (const QualityKey& group : {PooledKey(key), key}) {
    QualityCell* cell = FindOrAddOwnCell(group);
    if (cell == nullptr) {
      continue;
    }
    AddRating(cell->all, rating);
    if (confidence >= 0.0) {
      AddRating(cell->bins[ConfidenceBin(confidence)], rating);
    }
  }
}

auto QualityModel::OnAnswer(const QualityKey& key, double confidence) -> void {
  if (confidence < 0.0) {
    return;
  }
  for (const QualityKey& group : {PooledKey(key), key}) {
    if (QualityCell* cell = FindOrAddOwnCell(group); cell != nullptr) {
      cell->seen[ConfidenceBin(confidence)] += 1.0;
    }
  }
}

auto QualityModel::CombinedCell(const QualityKey& key) const -> QualityCell {
  QualityCell sum;
  if (const auto own = own_.find(key); own != own_.end()) {
    sum += own->second;
  }
  if (const auto others = others_.find(key); others != others_.end()) {
    sum += others->second;
  }
  return sum;
}

auto QualityModel::Estimate(const QualityKey& key, double prior) const
    -> QualityEstimate {
  return EstimateGroup(key, CombinedCell(key), CombinedCell(PooledKey(key)),
                       prior);
}

auto QualityModel::EstimateAt(const QualityKey& key,
                              double prior,
                              double confidence) const -> QualityEstimate {
  const QualityCell account = CombinedCell(key);
  const QualityCell pooled = CombinedCell(PooledKey(key));
  const QualityEstimate overall = EstimateGroup(key, account, pooled, prior);
  return confidence < 0.0 ? overall
                          : EstimateBin(ConfidenceBin(confidence), overall.mean,
                                        account, pooled, prior);
}

auto QualityModel::Curve(const QualityKey& key, double prior) const
    -> QualityCurve {
  const QualityCell account = CombinedCell(key);
  const QualityCell pooled = CombinedCell(PooledKey(key));
  QualityCurve curve;
  curve.overall = EstimateGroup(key, account, pooled, prior);
  curve.shares = Shares(account, pooled);
  for (std::size_t i = 0; i < kConfidenceBins; ++i) {
    curve.quality_at[i] =
        EstimateBin(i, curve.overall.mean, account, pooled, prior).mean;
  }
  return curve;
}

auto QualityModel::OnTime(Instant now) -> void {
  if (now - last_decay_ < kDecayInterval) {
    return;
  }
  const double half_lives =
      std::chrono::duration<double>(now - last_decay_) / kHalfLife;
  last_decay_ = now;
  const double factor = std::exp2(-half_lives);
  for (auto& [key, cell] : own_) {
    cell.Decay(factor);
  }
  for (auto& [key, cell] : others_) {
    cell.Decay(factor);
  }
}

auto QualityModel::OwnRows(const std::string& model, std::size_t max_rows)
    -> std::vector<QualityRow> {
  std::vector<QualityRow> rows;
  QualityKey& last = last_sent_[model];
  auto next = own_.upper_bound(last);
  for (std::size_t i = 0; i < own_.size() && rows.size() < max_rows; ++i) {
    if (next == own_.end()) {
      next = own_.begin();
    }
    if (next->first.version.model == model) {
      rows.push_back({next->first, next->second});
      last = next->first;
    }
    ++next;
  }
  return rows;
}

auto QualityModel::ReplaceOthers(const std::vector<QualityRow>& rows) -> void {
  for (const QualityRow& row : rows) {
    if (others_.size() < max_cells_ || others_.contains(row.key)) {
      others_[row.key] = row.cell;
    }
  }
}

}  // namespace zinniastep
