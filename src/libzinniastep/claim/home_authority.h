#ifndef LIBZINNIASTEP_CLAIM_HOME_AUTHORITY_H_
#define LIBZINNIASTEP_CLAIM_HOME_AUTHORITY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/claim/claim_entry.h"
#include "libzinniastep/claim/claim_limits.h"
#include "libzinniastep/claim/claim_outbox.h"
#include "libzinniastep/claim/messages.h"
#include "libzinniastep/claim/replay_cache.h"
#include "libzinniastep/claim/waiting_room.h"
#include "libzinniastep/core/cluster_view.h"

namespace zinniastep {

// Decides in memory on the keys that are bound to this process. When the
// process ends nobody can decide on them, so none of them runs again.
class HomeAuthority {
 public:
  HomeAuthority(const ClusterView& cluster, const ClaimLimits& limits);

  // Decides on a request; may answer later when the key's first request ends.
  auto OnAsk(Instant now,
             const PeerRef& from,
             const ClaimAsk& ask,
             ClaimOutbox& outbox) -> void;

  // Takes in what became of a request.
  auto OnReport(Instant now,
                const PeerRef& from,
                const ClaimReport& report,
                ClaimOutbox& outbox) -> void;

  auto OnTime(Instant now) -> void;
  auto OnHostLost(Instant now, Incarnation incarnation, ClaimOutbox& outbox)
      -> void;

  // Returns the binding of keys that are handed out now.
  [[nodiscard]] auto binding() const -> HomeBinding;

 private:
  using Entries = std::unordered_map<KeyDigest, ClaimEntry>;

  // Returns the entries of a period, or null for a period that is not kept.
  auto PeriodOf(const HomeBinding& home) -> Entries*;
  auto Grant(const Waiter& waiter, Entries& entries, ClaimOutbox& outbox)
      -> void;
  // Answers all that wait for a key after its entry changed.
  auto WakeWaiters(const KeyDigest& key, Entries& entries, ClaimOutbox& outbox)
      -> void;

  const ClusterView* cluster_;
  ClaimLimits limits_;
  std::uint64_t period_ = 1;
  std::map<std::uint64_t, Entries> periods_;
  std::size_t entry_count_ = 0;
  ReplayCache replays_;
  WaitingRoom waiting_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CLAIM_HOME_AUTHORITY_H_
