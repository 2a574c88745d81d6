#ifndef LIBZINNIASTEP_GATEWAY_LEAVING_SERVERS_H_
#define LIBZINNIASTEP_GATEWAY_LEAVING_SERVERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/backend_entry.h"

namespace zinniastep {

// Incarnations of backend servers that said in an answer to this host that they
// leave. No list of servers takes that back: it holds until a later incarnation
// is listed under the name. At most kMaxLeavingServers are kept; servers that
// are not listed any more are dropped first, the oldest before others.
class LeavingServers {
 public:
  // One that is no longer kept.
  struct Ended {
    BackendServerId server;
    // Time since it was learned.
    Duration age{0};
    // A later incarnation is listed. Otherwise the entry made room for others.
    bool was_replaced = false;
  };

  // Notes that the incarnation leaves. Returns whether that is news.
  auto Learn(Instant now, const BackendServerId& server, std::uint64_t started)
      -> bool;

  // Drops servers that returned as a later incarnation, and those beyond the
  // limit. Returns the dropped ones.
  auto Update(Instant now, std::span<const UsableBackend> listed)
      -> std::vector<Ended>;

  // Returns whether the incarnation, or a later one under the name, said so.
  [[nodiscard]] auto Contains(const BackendServerId& server,
                              std::uint64_t started) const -> bool;

  [[nodiscard]] auto size() const -> std::size_t { return marks_.size(); }

 private:
  struct Mark {
    std::uint64_t started = 0;
    Instant learned_at;
  };

  std::map<BackendServerId, Mark> marks_;
};

inline constexpr std::size_t kMaxLeavingServers = 4096;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_LEAVING_SERVERS_H_
