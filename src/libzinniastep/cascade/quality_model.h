#ifndef LIBZINNIASTEP_CASCADE_QUALITY_MODEL_H_
#define LIBZINNIASTEP_CASCADE_QUALITY_MODEL_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"

namespace zinniastep {

// The group of answers that one quality estimate applies to.
struct QualityKey {
  // Empty for the sums over all accounts.
  ClientAccountId account;
  TaskClassId task_class;
  ModelVersion version;
  // Whether the answer of an earlier step of a cascade was rejected. Such
  // requests are harder than most.
  bool escalated = false;

  auto operator<=>(const QualityKey&) const = default;

  // Reads or writes the key with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(account, task_class, version, escalated);
  }
};

// Number of bins of equal width for confidences in [0, 1].
inline constexpr std::size_t kConfidenceBins = 10;

// Decayed sums of ratings. Sums of different hosts add up in any order.
struct QualitySums {
  double weight = 0.0;
  double rating = 0.0;

  // Reads or writes the sums with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(weight, rating);
  }
};

// Sums of one group, overall and per confidence bin, and the decayed number of
// answers in each bin, rated or not.
struct QualityCell {
  QualitySums all;
  std::array<QualitySums, kConfidenceBins> bins;
  std::array<double, kConfidenceBins> seen{};

  auto operator+=(const QualityCell& other) -> QualityCell&;

  // Multiplies all sums by a factor below one, so that old answers lose weight.
  auto Decay(double factor) -> void;

  // Reads or writes the cell with a cereal archive: a bit mask of the bins that
  // are not empty, the overall sums, and the bins that are not empty.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    std::uint16_t present = 0;
    for (std::size_t i = 0; i < kConfidenceBins; ++i) {
      const bool seen_or_rated = seen[i] > 0.0 || bins[i].weight > 0.0;
      present |= static_cast<std::uint16_t>(seen_or_rated ? 1U << i : 0U);
    }
    archive(present, all);
    for (std::size_t i = 0; i < kConfidenceBins; ++i) {
      if ((present >> i & 1U) != 0) {
        archive(bins[i], seen[i]);
      }
    }
  }
};

// The cell of one group, as exchanged between hosts.
struct QualityRow {
  QualityKey key;
  QualityCell cell;

  // Reads or writes the row with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(key, cell);
  }
};

// Estimate of the quality of one group.
struct QualityEstimate {
  double mean = 0.0;
  // Standard deviation of the estimated mean.
  double deviation = 0.0;
};

// Estimate of the quality of a group, overall and per confidence bin.
struct QualityCurve {
  QualityEstimate overall;
  // Share of the group's answers in each confidence bin, and their mean
  // quality.
  std::array<double, kConfidenceBins> shares{};
  std::array<double, kConfidenceBins> quality_at{};
};

// Estimates the expected quality of answers by account, task class and version.
// The ratings of an account count fully, the pooled ratings of all accounts
// serve as its prior, and the rule of the version gives the prior of the pooled
// ratings. The number of groups is bounded; beyond the bound no group is added,
// and ratings count only in the stored sums over all accounts.
class QualityModel {
 public:
  explicit QualityModel(std::size_t max_cells = 4096);

  // Adds a rating in [0, 1]. A negative confidence means "none".
  auto OnRating(const QualityKey& key, double rating, double confidence)
      -> void;

  // Counts an answer with this confidence, rated or not.
  auto OnAnswer(const QualityKey& key, double confidence) -> void;

  // Returns the estimate for a group; `prior` is the prior quality of the
  // version.
  [[nodiscard]] auto Estimate(const QualityKey& key, double prior) const
      -> QualityEstimate;

  // Returns the estimate for answers of the group with this confidence.
  [[nodiscard]] auto EstimateAt(const QualityKey& key,
                                double prior,
                                double confidence) const -> QualityEstimate;

  // Returns the estimates for a group, overall and per confidence bin.
  [[nodiscard]] auto Curve(const QualityKey& key, double prior) const
      -> QualityCurve;

  // Decays old ratings by their age.
  auto OnTime(Instant now) -> void;

  // Returns the sums of this host for one model, at most `max_rows` rows. Each
  // call continues after the rows of the previous call, so that all rows are
  // sent in turn.
  [[nodiscard]] auto OwnRows(const std::string& model, std::size_t max_rows)
      -> std::vector<QualityRow>;

  // Replaces the stored sums of these groups with the given sums, which are
  // totals over all other hosts.
  auto ReplaceOthers(const std::vector<QualityRow>& rows) -> void;

  // Returns the number of stored groups.
  [[nodiscard]] auto size() const -> std::size_t {
    return own_.size() + others_.size();
  }

 private:
  [[nodiscard]] auto FindOrAddOwnCell(const QualityKey& key) -> QualityCell*;
  [[nodiscard]] auto CombinedCell(const QualityKey& key) const -> QualityCell;

  std::size_t max_cells_;
  std::map<QualityKey, QualityCell> own_;
  std::map<QualityKey, QualityCell> others_;
  // The row that was sent last, by model.
  std::map<std::string, QualityKey> last_sent_;
  Instant last_decay_{};
};

// Returns the bin of a confidence in [0, 1].
[[nodiscard]] auto ConfidenceBin(double confidence) -> std::size_t;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CASCADE_QUALITY_MODEL_H_
