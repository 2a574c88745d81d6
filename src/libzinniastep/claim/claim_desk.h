#ifndef LIBZINNIASTEP_CLAIM_CLAIM_DESK_H_
#define LIBZINNIASTEP_CLAIM_CLAIM_DESK_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/claim/claim_asker.h"
#include "libzinniastep/claim/claim_limits.h"
#include "libzinniastep/claim/claim_outbox.h"
#include "libzinniastep/claim/home_authority.h"
#include "libzinniastep/claim/messages.h"
#include "libzinniastep/claim/shard_authorities.h"
#include "libzinniastep/core/call.h"
#include "libzinniastep/core/cluster_view.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/core/event.h"

namespace zinniastep {

// One host's part in the idempotent claims: it asks for the requests that it
// takes, and decides on the keys that it is the authority of.
//
// A key is decided on by one authority: the process that its prefix names, or
// the holder of its shard. Whatever is lost, doubled, late or paused, at most
// one request of a key is ever granted while the key is remembered.
class ClaimDesk {
 public:
  explicit ClaimDesk(const ClusterView& cluster, ClaimLimits limits = {});
  ClaimDesk(const ClaimDesk&) = delete;
  auto operator=(const ClaimDesk&) -> ClaimDesk& = delete;

  // Asks whether a request may run. Exactly one ClaimDecided notice follows,
  // at the latest when the deadline is over. A refusal that says "not run"
  // holds for the key, earlier requests included.
  auto Begin(Instant now,
             const RequestId& request,
             const ClientAccountId& account,
             const IdempotencyKey& key,
             std::uint64_t body_hash,
             Duration deadline,
             Effects& effects) -> void;

  // Ends a granted request whose whole answer is known. Without an answer
  // (null) later requests of the key learn only that it ran.
  auto Finish(Instant now,
              const RequestId& request,
              const SharedAnswer& answer,
              Effects& effects) -> void;

  // Ends a request that has not been sent and never will be. Before the
  // verdict it withdraws the ask, and no notice follows.
  auto GiveBack(Instant now, const RequestId& request, Effects& effects)
      -> void;

  // Ends a granted request that was sent and whose whole answer did not come.
  auto MarkUnknown(Instant now, const RequestId& request, Effects& effects)
      -> void;

  // Returns a key for a request whose caller gave none, bound to this process.
  [[nodiscard]] auto MintKey(const RequestId& request) const -> IdempotencyKey;

  // Returns the prefix of keys bound to this process, for `GET /addresses`.
  [[nodiscard]] auto key_prefix() const -> std::string;

  // Returns how many outcomes no authority has taken yet; a graceful shutdown
  // waits for zero, within its limit.
  [[nodiscard]] auto open_reports() const -> std::size_t;

  auto OnTime(Instant now, Effects& effects) -> void;
  auto OnMessage(Instant now,
                 const PeerRef& from,
                 const ClaimMessage& message,
                 Effects& effects) -> void;
  auto OnStore(Instant now, const StoreAnswered& answered, Effects& effects)
      -> void;
  // Another process is lost: what it was granted and did not report is
  // unknown.
  auto OnHostLost(Instant now, Incarnation incarnation, Effects& effects)
      -> void;

 private:
  auto Deliver(Instant now,
               const PeerRef& from,
               const ClaimMessage& message,
               Effects& effects) -> void;
  // Hands messages to this process itself over, then the others to `effects`.
  auto Settle(Instant now, Effects& effects) -> void;

  const ClusterView* cluster_;
  ClaimLimits limits_;
  ClaimOutbox outbox_;
  HomeAuthority home_;
  ShardAuthorities shards_;
  ClaimAsker asker_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CLAIM_CLAIM_DESK_H_
