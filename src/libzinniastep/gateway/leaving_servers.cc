#include "libzinniastep/gateway/leaving_servers.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace zinniastep {

auto LeavingServers::Learn(Instant now,
                           const BackendServerId& server,
                           std::uint64_t started) -> bool {
  const auto [entry, is_new] = marks_.try_emplace(server, Mark{started, now});
  if (is_new) {
    return true;
  }
  Mark& mark = entry->second;
  if (started <= mark.started) {
    return false;
  }
  mark = {started, now};
  return true;
}

auto LeavingServers::Update(Instant now, std::span<const UsableBackend> listed)
    -> std::vector<Ended> {
  std::vector<Ended> ended;
  if (marks_.empty()) {
    return ended;
  }
  const auto drop = [&](std::map<BackendServerId, Mark>::iterator mark,
                        bool was_replaced) {
    ended.push_back({mark->first, now - mark->second.learned_at, was_replaced});
    marks_.erase(mark);
  };
  std::set<BackendServerId> still_listed;
  for (const UsableBackend& backend : listed) {
    const auto mark = marks_.find(backend.entry.id);
    if (mark == marks_.end()) {
      continue;
    }
    if (backend.entry.started > mark->second.started) {
      drop(mark, true);
    } else {
      still_listed.insert(backend.entry.id);
    }
  }
  if (marks_.size() <= kMaxLeavingServers) {
    return ended;
  }
  std::vector<std::tuple<bool, Instant, BackendServerId>> by_worth;
  for (const auto& [server, mark] : marks_) {
    by_worth.emplace_back(still_listed.contains(server), mark.learned_at,
                          server);
  }
  std::ranges::sort(by_worth);
  for (const auto& [is_listed, learned_at, server] :
       std::span(by_worth).first(marks_.size() - kMaxLeavingServers)) {
    drop(marks_.find(server), false);
  }
  return ended;
}

auto LeavingServers::Contains(const BackendServerId& server,
                              std::uint64_t started) const -> bool {
  const auto mark = marks_.find(server);
  return mark != marks_.end() && started <= mark->second.started;
}

}  // namespace zinniastep
