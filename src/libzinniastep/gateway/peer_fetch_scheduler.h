#ifndef LIBZINNIASTEP_GATEWAY_PEER_FETCH_SCHEDULER_H_
#define LIBZINNIASTEP_GATEWAY_PEER_FETCH_SCHEDULER_H_

#include <cstdint>
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
// pending. Unanswered ones are repeated ever less often: a state that comes
// slowly must not be sent several times over.
class PeerFetchScheduler {
 public:
  // A kind to request from a peer.
  struct Fetch {
    RecordKind kind = RecordKind::kConfiguration;
    // Any peer may be asked if there is none: no other than the one that was
    // asked in vain is known to have the state.
    std::optional<PeerRef> peer = std::nullopt;
    // The full state is needed, because the peer's changes did not apply.
    bool full_state = false;
    // The state is needed without compression.
    bool plain = false;
    // Earlier requests that were not answered.
    std::uint32_t retries = 0;
  };

  // This host has no state of the kind yet.
  auto OnMissing(Instant now, RecordKind kind) -> void;

  // A peer reported that it holds a newer state.
  auto OnNewerState(Instant now,
                    RecordKind kind,
                    const PeerRef& peer,
                    bool is_near) -> void;

  // The peer's changes did not apply to this host's state.
  auto OnDeltaMismatch(Instant now, RecordKind kind, const PeerRef& peer)
      -> void;

  // A peer's answer could not be read: it is not asked for in that form again.
  auto OnUnreadable(Instant now, RecordKind kind) -> void;

  // This host's state became newer. Drops the pending request: peers report
  // again what is still missing.
  auto OnReceived(RecordKind kind) -> void;

  // Returns the requests to send now and marks them as sent. `reads_store` is
  // whether this host's own watch probably brings the change without a request.
  [[nodiscard]] auto TakeDue(Instant now, bool reads_store)
      -> std::vector<Fetch>;

 private:
  struct Pending {
    std::optional<PeerRef> peer = std::nullopt;
    bool is_near = false;
    // This host has no state of the kind at all.
    bool is_missing = false;
    bool full_state = false;
    bool plain = false;
    // When the state was reported, or the last request was sent.
    Instant since;
    // Requests so far.
    std::uint32_t requests = 0;
  };

  // Returns how long to wait before the next request, after the report or the
  // request before.
  [[nodiscard]] static auto Delay(const Pending& pending, bool reads_store)
      -> Duration;

  std::map<RecordKind, Pending> pending_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_PEER_FETCH_SCHEDULER_H_
