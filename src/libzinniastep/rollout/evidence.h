#ifndef LIBZINNIASTEP_ROLLOUT_EVIDENCE_H_
#define LIBZINNIASTEP_ROLLOUT_EVIDENCE_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

#include "libzinniastep/base/ids.h"

namespace zinniastep {

// The set of answers that evidence refers to: all answers of a version, or only
// those to one account or of one task class.
struct EvidenceScope {
  ModelVersion version;
  ClientAccountId account;
  TaskClassId task_class;

  auto operator<=>(const EvidenceScope&) const = default;

  // Returns whether the scope contains all answers of the version.
  [[nodiscard]] auto IsVersionWide() const -> bool {
    return account.empty() && task_class.empty();
  }

  // Reads or writes the scope with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(version, account, task_class);
  }
};

// Number of equal intervals between the grid points of SignalCounts.
inline constexpr std::size_t kSignalSteps = 8;

// Histogram of one signal whose observations lie in [0, 1], where higher values
// are worse. Each observation is divided between the two nearest points of a
// grid by linear interpolation, which preserves the sum. Counts of different
// hosts can be added in any order.
class SignalCounts {
 public:
  // Adds one observation.
  auto Observe(double value) -> void;

  auto operator+=(const SignalCounts& other) -> SignalCounts&;

  // Returns the counts minus the counts at an earlier point in time.
  [[nodiscard]] auto Since(const SignalCounts& earlier) const -> SignalCounts;

  // Returns the counts with each observation x replaced by 1 - x.
  [[nodiscard]] auto Mirrored() const -> SignalCounts;

  // Returns the number of observations, and their sum.
  [[nodiscard]] auto count() const -> double;
  [[nodiscard]] auto sum() const -> double;
  // Returns the mean of the observations; zero without any.
  [[nodiscard]] auto mean() const -> double;

  // Returns the count at each point from zero to one.
  [[nodiscard]] auto points() const
      -> const std::array<double, kSignalSteps + 1>& {
    return points_;
  }

  // Reads or writes the counts with a cereal archive: a bit mask of the nonzero
  // points, followed by the counts of those points in single precision.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    std::uint16_t present = 0;
    for (std::size_t i = 0; i < points_.size(); ++i) {
      present |= static_cast<std::uint16_t>(points_[i] > 0.0 ? 1U << i : 0U);
    }
    archive(present);
    for (std::size_t i = 0; i < points_.size(); ++i) {
      if ((present >> i & 1U) != 0) {
        auto count = static_cast<float>(points_[i]);
        archive(count);
        if constexpr (Archive::is_loading::value) {
          points_[i] = count;
        }
      }
    }
  }

 private:
  std::array<double, kSignalSteps + 1> points_{};
};

// The signals of the answers in one scope. The counts never decrease.
struct EvidenceSums {
  // Share of attempts that failed.
  SignalCounts errors;
  // 1 minus the rating.
  SignalCounts poor_ratings;
  // First-token times and answer lengths, on a logarithmic scale in [0, 1].
  SignalCounts first_token;
  SignalCounts answer_length;

  auto operator+=(const EvidenceSums& other) -> EvidenceSums&;
  [[nodiscard]] auto Since(const EvidenceSums& earlier) const -> EvidenceSums;

  // Reads or writes the sums with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(errors, poor_ratings, first_token, answer_length);
  }
};

// Evidence about a version from one answer or one failed attempt.
struct AnswerEvidence {
  ModelVersion version;
  ClientAccountId account;
  TaskClassId task_class;
  // Whether the version itself failed. An overloaded or lost server is not
  // evidence against the version.
  bool failed = false;
  // Whether the attempt failed because the connection broke. Failing servers
  // and failure domains break connections too. Broken connections therefore
  // count only during a roll-out, where they are compared with those of the
  // other version at the same time.
  bool broken = false;
  double first_token_ms = 0.0;
  std::uint32_t completion_tokens = 0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_ROLLOUT_EVIDENCE_H_
