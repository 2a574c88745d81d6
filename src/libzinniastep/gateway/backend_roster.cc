#include "libzinniastep/gateway/backend_roster.h"

#include <algorithm>
#include <set>

namespace zinniastep {

auto BackendRoster::Merge(Instant now, const BackendEntry& entry) -> void {
  const auto found = servers_.find(entry.id);
  if (found == servers_.end()) {
    servers_[entry.id] = {{entry, now + entry.cold_left}, std::nullopt};
    return;
  }
  Server& server = found->second;
  server.drop_at.reset();
  const BackendEntry& before = server.backend.entry;
  if (entry.started < before.started) {
    return;
  }
  if (entry.started > before.started) {
    server.backend = {entry, now + entry.cold_left};
    return;
  }
  if (entry.sequence < before.sequence || entry == before) {
    return;
  }
  const bool leaving = before.draining;
  const Duration cold_before = before.cold_left;
  server.backend.entry = entry;
  server.backend.entry.draining = leaving || entry.draining;
  if (entry.cold_left != cold_before) {
    server.backend.cold_until =
        std::max(server.backend.cold_until, now + entry.cold_left);
  }
}

auto BackendRoster::Update(Instant now,
                           const std::vector<BackendEntry>& entries) -> void {
  std::set<BackendServerId> listed;
  for (const BackendEntry& entry : entries) {
    listed.insert(entry.id);
    Merge(now, entry);
  }
  for (auto item = servers_.begin(); item != servers_.end();) {
    Server& server = item->second;
    if (!listed.contains(item->first)) {
      if (server.backend.entry.draining) {
        item = servers_.erase(item);
        continue;
      }
      if (!server.drop_at.has_value()) {
        server.drop_at = now + grace_;
      }
    }
    ++item;
  }
}

auto BackendRoster::MarkCold(const FailureDomainId& domain, Instant until)
    -> void {
  for (auto& [id, server] : servers_) {
    if (server.backend.entry.domain == domain) {
      server.backend.cold_until = std::max(server.backend.cold_until, until);
    }
  }
}

auto BackendRoster::Expire(Instant now) -> bool {
  return std::erase_if(servers_, [now](const auto& item) {
           return item.second.drop_at.has_value() &&
                  *item.second.drop_at <= now;
         }) > 0;
}

auto BackendRoster::usable() const -> std::vector<UsableBackend> {
  std::vector<UsableBackend> usable;
  for (const auto& [id, server] : servers_) {
    if (!server.backend.entry.draining) {
      usable.push_back(server.backend);
    }
  }
  return usable;
}

}  // namespace zinniastep
