#include "libzinniastep/membership/update_queue.h"

namespace zinniastep {

auto UpdateQueue::Add(const HostId& host) -> void {
  Erase(host);
  send_counts_.emplace(host, 0);
  by_send_count_.emplace(0, host);
}

auto UpdateQueue::Erase(const HostId& host) -> void {
  const auto it = send_counts_.find(host);
  if (it == send_counts_.end()) {
    return;
  }
  by_send_count_.erase({it->second, host});
  send_counts_.erase(it);
}

auto UpdateQueue::Take(std::size_t count, std::uint32_t limit)
    -> std::vector<HostId> {
  std::vector<HostId> taken;
  for (auto it = by_send_count_.begin();
       it != by_send_count_.end() && taken.size() < count; ++it) {
    taken.push_back(it->second);
  }
  for (const HostId& host : taken) {
    std::uint32_t& sent = send_counts_.at(host);
    by_send_count_.erase({sent, host});
    ++sent;
    if (sent >= limit) {
      send_counts_.erase(host);
    } else {
      by_send_count_.emplace(sent, host);
    }
  }
  return taken;
}

}  // namespace zinniastep
