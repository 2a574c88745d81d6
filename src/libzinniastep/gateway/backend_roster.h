#ifndef LIBZINNIASTEP_GATEWAY_BACKEND_ROSTER_H_
#define LIBZINNIASTEP_GATEWAY_BACKEND_ROSTER_H_

#include <map>
#include <optional>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/backend_entry.h"

namespace zinniastep {

// The backend servers that may be used. An entry can vanish because the store
// was away and the server could not renew it; such a server is listed again
// within the grace time, so that an entry that vanishes unannounced is kept
// that long. A server that announced its leaving is never used again under the
// same incarnation, whatever older news says.
class BackendRoster {
 public:
  // `grace` must be shorter than the time after which a server that left
  // silently must get nothing more.
  explicit BackendRoster(Duration grace) : grace_(grace) {}

  // Takes the list as it is now. Entries without change keep their cold time.
  auto Update(Instant now, const std::vector<BackendEntry>& entries) -> void;

  // Takes the servers of a failure domain for cold until a time.
  auto MarkCold(const FailureDomainId& domain, Instant until) -> void;

  // Drops entries whose grace has ended. Returns whether any was dropped.
  auto Expire(Instant now) -> bool;

  // Returns the servers that take new work.
  [[nodiscard]] auto usable() const -> std::vector<UsableBackend>;

 private:
  struct Known {
    UsableBackend backend;
    // When an unlisted entry is dropped.
    std::optional<Instant> drop_at;
  };

  auto Take(Instant now, const BackendEntry& entry) -> void;

  Duration grace_;
  std::map<BackendServerId, Known> known_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_BACKEND_ROSTER_H_
