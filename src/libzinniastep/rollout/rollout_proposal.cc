#include "libzinniastep/rollout/rollout_proposal.h"

#include <algorithm>
#include <utility>

namespace zinniastep {

namespace {

auto Advance(Document& document, const RolloutProposal& proposal) -> bool {
  const auto rollout =
      std::ranges::find(document.rollouts, proposal.rollout, &RolloutRule::id);
  if (rollout == document.rollouts.end() ||
      rollout->state != RolloutRule::State::kRunning ||
      rollout->step != proposal.step) {
    return false;
  }
  if (proposal.kind == RolloutProposal::Kind::kFinish) {
    rollout->state = RolloutRule::State::kFinished;
  } else {
    rollout->step += 1;
  }
  rollout->reason = proposal.reason;
  return rollout->step < rollout->steps.size();
}

auto Hold(Document& document, const RolloutProposal& proposal) -> bool {
  const auto rollout =
      std::ranges::find(document.rollouts, proposal.rollout, &RolloutRule::id);
  if (rollout == document.rollouts.end() ||
      rollout->state == RolloutRule::State::kHeld) {
    return false;
  }
  rollout->state = RolloutRule::State::kHeld;
  rollout->reason = proposal.reason;
  return true;
}

auto Withdraw(Document& document, const RolloutProposal& proposal) -> bool {
  const auto version =
      std::ranges::find(document.versions, proposal.version, &VersionRule::id);
  if (version == document.versions.end() ||
      version->state == VersionState::kWithdrawn) {
    return false;
  }
  version->state = VersionState::kWithdrawn;
  version->bad = true;
  version->reason = proposal.reason;
  Hold(document, proposal);
  return true;
}

}  // namespace

auto ToString(RolloutProposal::Kind kind) -> std::string {
  switch (kind) {
    case RolloutProposal::Kind::kAdvance:
      return "advance";
    case RolloutProposal::Kind::kFinish:
      return "finish";
    case RolloutProposal::Kind::kHold:
      return "hold";
    case RolloutProposal::Kind::kWithdraw:
      return "withdraw";
  }
  return "unknown";
}

auto ApplyProposal(const Document& document, const RolloutProposal& proposal)
    -> std::optional<Document> {
  if (document.generation != proposal.generation) {
    return std::nullopt;
  }
  Document changed = document;
  bool applicable = false;
  switch (proposal.kind) {
    case RolloutProposal::Kind::kAdvance:
    case RolloutProposal::Kind::kFinish:
      applicable = Advance(changed, proposal);
      break;
    case RolloutProposal::Kind::kHold:
      applicable = Hold(changed, proposal);
      break;
    case RolloutProposal::Kind::kWithdraw:
      applicable = Withdraw(changed, proposal);
      break;
  }
  return applicable ? std::optional(std::move(changed)) : std::nullopt;
}

}  // namespace zinniastep
