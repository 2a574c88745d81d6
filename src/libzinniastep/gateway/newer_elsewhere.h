#ifndef LIBZINNIASTEP_GATEWAY_NEWER_ELSEWHERE_H_
#define LIBZINNIASTEP_GATEWAY_NEWER_ELSEWHERE_H_

#include <map>
#include <optional>
#include <vector>

#include "libzinniastep/base/time.h"
#include "libzinniastep/core/host_identity.h"
#include "libzinniastep/gateway/record_mirror.h"

namespace zinniastep {

// Which kinds of records a peer holds in a newer state, and when to ask for
// them. A peer of the same region is asked at once; with one of another region
// the host waits a little for a near one, since the link between regions is
// shared by all. One request a kind is under way at a time.
class NewerElsewhere {
 public:
  // A kind to ask a peer for.
  struct Question {
    RecordKind kind = RecordKind::kConfiguration;
    PeerRef peer;
    // The whole state is needed, because changes did not fit.
    bool whole = false;
    // The peer did not answer before; any other one may.
    bool unanswered = false;
  };

  // A peer told that it holds a newer state.
  auto OnTold(Instant now, RecordKind kind, const PeerRef& peer, bool is_near)
      -> void;

  // The peer's changes did not fit this host's state.
  auto OnUnfit(Instant now, RecordKind kind, const PeerRef& peer) -> void;

  // This host's state became newer; what is still missing is told again.
  auto OnReceived(RecordKind kind) -> void;

  // Returns what to ask for now. `reads_store` is whether this host's own watch
  // probably brings the change without a question.
  [[nodiscard]] auto Due(Instant now, bool reads_store)
      -> std::vector<Question>;

 private:
  struct Newer {
    PeerRef peer;
    bool is_near = false;
    bool whole = false;
    Instant told_at;
    std::optional<Instant> asked_at;
  };

  std::map<RecordKind, Newer> newer_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_NEWER_ELSEWHERE_H_
