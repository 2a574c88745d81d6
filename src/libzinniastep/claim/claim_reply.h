#ifndef LIBZINNIASTEP_CLAIM_CLAIM_REPLY_H_
#define LIBZINNIASTEP_CLAIM_CLAIM_REPLY_H_

#include "libzinniastep/claim/claim_entry.h"
#include "libzinniastep/claim/claim_outbox.h"
#include "libzinniastep/claim/messages.h"
#include "libzinniastep/claim/replay_cache.h"
#include "libzinniastep/core/call.h"
#include "libzinniastep/core/cluster_view.h"

namespace zinniastep {

// Returns a verdict without an answer to replay.
[[nodiscard]] auto MakeVerdict(const ClaimAsk& ask, ClaimAnswer answer)
    -> ClaimVerdict;

// Returns a verdict; a replay takes its answer from `replays`, and becomes
// "has run" when that no longer keeps it.
[[nodiscard]] auto MakeVerdict(const ClaimAsk& ask,
                               ClaimAnswer answer,
                               const ReplayCache& replays) -> ClaimVerdict;

// Returns the answer that a verdict or report carries; null without one.
[[nodiscard]] auto AnswerOf(const ClaimVerdict& verdict) -> SharedAnswer;
[[nodiscard]] auto AnswerOf(const ClaimReport& report) -> SharedAnswer;

// Returns what a verdict that neither grants nor replays says to the caller.
[[nodiscard]] auto RefusalFor(ClaimAnswer answer) -> Refusal;

// Reminds the process that holds a key of its grant, so that one that has
// forgotten the request says so.
auto AskHolder(const ClusterView& cluster,
               const ClaimEntry& entry,
               const KeyDigest& key,
               const HomeBinding& home,
               ClaimOutbox& outbox) -> void;

// Returns this process as the sender or receiver of messages.
[[nodiscard]] auto PeerOf(const HostIdentity& host) -> PeerRef;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CLAIM_CLAIM_REPLY_H_
