#ifndef LIBZINNIASTEP_GATEWAY_PEER_FETCH_SCHEDULER_H_
#define LIBZINNIASTEP_GATEWAY_PEER_FETCH_SCHEDULER_H_

#include <map>
#include <optional>
#include <vector>

#include "libzinniastep/base/time.h"
#include "libzinniastep/core/host_identity.h"
#include "libzinniastep/gateway/record_mirror.h"

namespace zinniastep {

// Schedules requests for kinds of records of which a peer holds a newer state.
// A peer of the same region gets the request at once; before a request to
// another region the host waits a little for a peer of its own region, since
// all hosts share the link between regions. At most one request per kind is
// pending.
class PeerFetchScheduler {
 public:
  // A kind to request from a peer.
  struct Fetch {
    RecordKind kind = RecordKind::kConfiguration;
    PeerRef peer;
    // The full state is needed, because the peer's changes did not apply.
    bool full_state = false;
    // An earlier request was not answered, so any other peer may be asked too.
    bool is_retry = false;
  };

  // A peer reported that it holds a newer state.
  auto OnNewerState(Instant now,
                    RecordKind kind,
                    const PeerRef& peer,
                    bool is_near) -> void;

  // The peer's changes did not apply to this host's state.
  auto OnDeltaMismatch(Instant now, RecordKind kind, const PeerRef& peer)
      -> void;

  // This host's state became newer. Drops the pending request: peers report
  // again what is still missing.
  auto OnReceived(RecordKind kind) -> void;

  // Returns the requests to send now and marks them as sent. `reads_store` is
  // whether this host's own watch probably brings the change without a request.
  [[nodiscard]] auto TakeDue(Instant now, bool reads_store)
      -> std::vector<Fetch>;

 private:
  struct Pending {
    PeerRef peer;
    bool is_near = false;
    bool full_state = false;
    Instant reported_at;
    std::optional<Instant> requested_at;
  };

  std::map<RecordKind, Pending> pending_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_PEER_FETCH_SCHEDULER_H_
