#ifndef LIBZINNIASTEP_ROLLOUT_ROLLOUT_PROPOSAL_H_
#define LIBZINNIASTEP_ROLLOUT_ROLLOUT_PROPOSAL_H_

#include <cstdint>
#include <optional>
#include <string>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/configuration/document.h"

namespace zinniastep {

// A change of a team's document that is proposed because of evidence. The
// change is written with a conditional update; on a conflict, a new proposal is
// made from the newer document.
struct RolloutProposal {
  enum class Kind : std::uint8_t { kAdvance, kFinish, kHold, kWithdraw };

  Kind kind = Kind::kHold;
  TeamId team;
  // Generation of the document that the proposal is based on.
  std::uint64_t generation = 0;
  // Empty for a withdrawal after the roll-out has ended.
  RolloutId rollout;
  // The current step of the roll-out, for kAdvance and kFinish.
  std::uint32_t step = 0;
  ModelVersion version;
  std::string reason;
};

// Returns the proposal's kind as written in logs.
[[nodiscard]] auto ToString(RolloutProposal::Kind kind) -> std::string;

// Returns the document with the proposal applied and the generation unchanged.
// Returns nothing when the document's generation differs from the proposal's or
// the roll-out or version is not in a state that allows the change.
[[nodiscard]] auto ApplyProposal(const Document& document,
                                 const RolloutProposal& proposal)
    -> std::optional<Document>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_ROLLOUT_ROLLOUT_PROPOSAL_H_
