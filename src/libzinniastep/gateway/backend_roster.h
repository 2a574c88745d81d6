#ifndef LIBZINNIASTEP_GATEWAY_BACKEND_ROSTER_H_
#define LIBZINNIASTEP_GATEWAY_BACKEND_ROSTER_H_

#include <map>
#include <optional>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/backend_entry.h"

namespace zinniastep {

// The backend servers that may be used. An entry can disappear because the
// store was unavailable and the server could not renew it; such a server is
// listed again within the grace period, so that an entry that disappears
// without a drain is kept that long. A server that announced that it leaves is
// never used again under the same incarnation, even if an older entry arrives
// later.
class BackendRoster {
 public:
  // `grace` must be shorter than the time after which a server that left
  // without notice must get no more requests.
  explicit BackendRoster(Duration grace) : grace_(grace) {}

  // Updates the roster from the current list. Unchanged entries keep their cold
  // time.
  auto Update(Instant now, const std::vector<BackendEntry>& entries) -> void;

  // Marks the servers of a failure domain as cold until a time.
  auto MarkCold(const FailureDomainId& domain, Instant until) -> void;

  // The store was restored from a copy, which may show servers that have left.
  // These are used again only once they announce themselves again: with a later
  // number, or as a later incarnation if they had announced that they leave.
  auto OnStoreRestored(Instant now) -> void;

  // Drops entries whose grace period has ended. Returns whether any was
  // dropped.
  auto Expire(Instant now) -> bool;

  // Returns the servers that accept new requests.
  [[nodiscard]] auto usable() const -> std::vector<UsableBackend>;

 private:
  struct Server {
    UsableBackend backend;
    // When an unlisted entry is dropped.
    std::optional<Instant> drop_at;
    // The entry had disappeared when the store was restored.
    bool is_lapsed = false;
  };
  // A server that was dropped.
  struct Departure {
    BackendEntry entry;
    Instant at;
    // The store was restored since then, so that it may show an older entry.
    bool binds = false;
    // The store lists an entry that is not used for this reason.
    bool hides = false;
  };

  // Whether the entry is that of a server which left before the store was
  // restored.
  auto IsOfDeparted(const BackendEntry& entry) -> bool;
  auto Depart(Instant now, const BackendEntry& entry) -> void;

  auto Merge(Instant now, const BackendEntry& entry) -> void;

  Duration grace_;
  std::map<BackendServerId, Server> servers_;
  std::map<BackendServerId, Departure> departures_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_BACKEND_ROSTER_H_
