#ifndef LIBZINNIASTEP_GATEWAY_STORE_ERA_H_
#define LIBZINNIASTEP_GATEWAY_STORE_ERA_H_

#include <cstdint>
#include <optional>
#include <variant>

#include "libzinniastep/base/time.h"

namespace zinniastep {

// What an answer of the store says about its era: nothing, as stores without
// eras do; something that is no whole number; or a number.
struct NoEra {
  auto operator==(const NoEra&) const -> bool = default;
};
struct UnreadableEra {
  auto operator==(const UnreadableEra&) const -> bool = default;
};
using ReportedEra = std::variant<NoEra, UnreadableEra, std::uint64_t>;

// Decides which era an answer of the store belongs to, and which answers are
// not used. The era of this host never falls.
class StoreEra {
 public:
  enum class Verdict : std::uint8_t {
    // The answer is of the era of this host.
    kCurrent,
    // The answer is the second one in a row to report a later era, which is now
    // the era of this host.
    kLater,
    // The answer is the first one to report a later era. It is not used, since
    // a single answer may be wrong.
    kUnconfirmed,
    // The answer is of an earlier era. It is not used.
    kEarlier,
    // The era is no number; the answer counts as one of the era of this host.
    kUnreadable,
    // The store has reported only earlier eras for kEarlierEraTrusted. Its
    // answers count as ones of the era of this host.
    kEarlierTrusted,
  };

  // Judges the next answer.
  [[nodiscard]] auto Judge(Instant now, const ReportedEra& reported) -> Verdict;

  // A peer holds a state of this era, which it has confirmed. Returns whether
  // that is news.
  auto OnPeerEra(std::uint64_t era) -> bool;

  [[nodiscard]] auto current() const -> std::uint64_t { return current_; }

 private:
  auto JudgeNumber(Instant now, std::uint64_t era) -> Verdict;

  std::uint64_t current_ = 0;
  // A later era that one answer has reported.
  std::optional<std::uint64_t> candidate_;
  // Since when answers report earlier eras only.
  std::optional<Instant> earlier_since_;
};

// Answers to requests from before a restore arrive within the longest wait of a
// watch and its slack (7.5 s); a store that reports earlier eras for longer
// than that has really gone back.
inline constexpr Duration kEarlierEraTrusted = std::chrono::seconds(10);

// Returns whether an answer with this verdict is used.
[[nodiscard]] auto IsUsed(StoreEra::Verdict verdict) -> bool;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_STORE_ERA_H_
