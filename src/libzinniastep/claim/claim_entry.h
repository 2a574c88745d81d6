#ifndef LIBZINNIASTEP_CLAIM_CLAIM_ENTRY_H_
#define LIBZINNIASTEP_CLAIM_CLAIM_ENTRY_H_

#include <cstdint>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/claim/messages.h"

namespace zinniastep {

// What an authority remembers of a key. A key without an entry is free.
enum class ClaimState : std::uint8_t {
  // The request was granted and has not reported.
  kHeld,
  kRan,
  kUnknown,
};

// The request that a key was granted to, and what became of it.
struct ClaimEntry {
  ClaimState state = ClaimState::kHeld;
  RequestId request;
  std::uint64_t body_hash = 0;
  // When the key was granted, in the clock of its ledger.
  std::uint64_t millisecond = 0;

  auto operator==(const ClaimEntry&) const -> bool = default;
};

// What a report makes of a key's entry.
enum class ReportEffect : std::uint8_t { kNothing, kChanged, kFreed };

// Applies a request's outcome to an entry. Outcomes may come in any order and
// more than once: "ran" beats the others, and those of other requests than the
// entry's do nothing. When the key is freed the entry is to be dropped.
[[nodiscard]] auto ApplyOutcome(const RequestId& request,
                                ClaimOutcome outcome,
                                ClaimEntry& entry) -> ReportEffect;

// Returns what an entry says to a request of its key: granted to the request
// that holds it, replayed when it ran, or a refusal.
[[nodiscard]] auto Judge(const ClaimEntry& entry, const ClaimAsk& ask)
    -> ClaimAnswer;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CLAIM_CLAIM_ENTRY_H_
