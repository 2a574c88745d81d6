#ifndef LIBZINNIASTEP_MEMBERSHIP_UPDATE_QUEUE_H_
#define LIBZINNIASTEP_MEMBERSHIP_UPDATE_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "libzinniastep/base/ids.h"

namespace zinniastep {

// Selects the hosts whose records are piggybacked on the next messages, the
// least often sent ones first.
class UpdateQueue {
 public:
  // Queues a host's record, or resets its send count to zero.
  auto Add(const HostId& host) -> void;

  // Removes a host from the queue.
  auto Erase(const HostId& host) -> void;

  // Returns up to `count` hosts for one message and raises their send counts.
  // A host leaves the queue after `limit` messages.
  auto Take(std::size_t count, std::uint32_t limit) -> std::vector<HostId>;

  [[nodiscard]] auto size() const -> std::size_t { return send_counts_.size(); }

 private:
  std::map<HostId, std::uint32_t> send_counts_;
  std::set<std::pair<std::uint32_t, HostId>> by_send_count_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_MEMBERSHIP_UPDATE_QUEUE_H_
