#ifndef LIBZINNIASTEP_CLAIM_SHARD_AUTHORITIES_H_
#define LIBZINNIASTEP_CLAIM_SHARD_AUTHORITIES_H_

#include <cstdint>
#include <map>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/claim/claim_limits.h"
#include "libzinniastep/claim/claim_outbox.h"
#include "libzinniastep/claim/messages.h"
#include "libzinniastep/claim/shard_authority.h"
#include "libzinniastep/core/cluster_view.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/core/store_tokens.h"

namespace zinniastep {

// The key shards that this process is, or was, the authority of.
class ShardAuthorities {
 public:
  ShardAuthorities(const ClusterView& cluster, const ClaimLimits& limits);

  // Hands an ask or a report to its shard; drops it when this process is not
  // the shard's authority, so that the sender finds the new one.
  auto OnAsk(Instant now,
             const PeerRef& from,
             const ClaimAsk& ask,
             ClaimOutbox& outbox) -> void;
  auto OnReport(Instant now,
                const PeerRef& from,
                const ClaimReport& report,
                ClaimOutbox& outbox) -> void;

  auto OnTime(Instant now, ClaimOutbox& outbox, Effects& effects) -> void;
  auto OnStore(Instant now,
               const StoreAnswered& answered,
               ClaimOutbox& outbox,
               Effects& effects) -> void;
  auto OnHostLost(Instant now, Incarnation incarnation) -> void;

 private:
  // Returns the shard when this process is its authority, else null.
  auto Held(std::uint32_t shard) -> ShardAuthority*;

  // Begins to read the ledgers of shards that this process has come to hold,
  // so that it can say "not run" when the object API falls silent later.
  auto AdoptAll() -> void;

  const ClusterView* cluster_;
  ClaimLimits limits_;
  StoreTokens tokens_{StoreUser::kClaim};
  std::map<std::uint32_t, ShardAuthority> shards_;
  Instant next_adoption_{};
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CLAIM_SHARD_AUTHORITIES_H_
