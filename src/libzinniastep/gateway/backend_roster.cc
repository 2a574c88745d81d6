#include "libzinniastep/gateway/backend_roster.h"

#include <algorithm>
#include <set>
#include <utility>

namespace zinniastep {

namespace {

// How long departures are remembered, and how many. A restored copy is some
// seconds old.
constexpr Duration kDepartureMemory = std::chrono::minutes(2);
constexpr std::size_t kMaxDepartures = 4096;

// Whether `entry` was announced later than `before`.
auto IsLaterAnnouncement(const BackendEntry& entry, const BackendEntry& before)
    -> bool {
  return std::pair(entry.started, entry.sequence) >
         std::pair(before.started, before.sequence);
}

}  // namespace

auto BackendRoster::Merge(Instant now, const BackendEntry& entry) -> void {
  const auto found = servers_.find(entry.id);
  if (found == servers_.end()) {
    servers_[entry.id] = {{entry, now + entry.cold_left}, std::nullopt};
    return;
  }
  Server& server = found->second;
  if (server.is_lapsed && !IsLaterAnnouncement(entry, server.backend.entry)) {
    return;
  }
  server.is_lapsed = false;
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
  for (auto& [id, departure] : departures_) {
    departure.hides = false;
  }
  for (const BackendEntry& entry : entries) {
    if (IsOfDeparted(entry)) {
      continue;
    }
    listed.insert(entry.id);
    Merge(now, entry);
  }
  for (auto item = servers_.begin(); item != servers_.end();) {
    Server& server = item->second;
    if (!listed.contains(item->first)) {
      if (server.backend.entry.draining) {
        Depart(now, server.backend.entry);
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

auto BackendRoster::IsOfDeparted(const BackendEntry& entry) -> bool {
  const auto found = departures_.find(entry.id);
  if (found == departures_.end()) {
    return false;
  }
  Departure& departure = found->second;
  const bool is_older = departure.entry.draining
                            ? entry.started <= departure.entry.started
                            : !IsLaterAnnouncement(entry, departure.entry);
  if (departure.binds && is_older) {
    departure.hides = true;
    return true;
  }
  departures_.erase(found);
  return false;
}

auto BackendRoster::Depart(Instant now, const BackendEntry& entry) -> void {
  departures_[entry.id] = {entry, now, false, false};
  if (departures_.size() > kMaxDepartures) {
    departures_.erase(std::ranges::min_element(
        departures_, {}, [](const auto& item) { return item.second.at; }));
  }
}

auto BackendRoster::OnStoreRestored(Instant now) -> void {
  for (auto& [id, departure] : departures_) {
    departure.binds = true;
    departure.at = now;
  }
  for (auto& [id, server] : servers_) {
    server.is_lapsed = server.drop_at.has_value();
  }
}

auto BackendRoster::Expire(Instant now) -> bool {
  std::erase_if(departures_, [now](const auto& item) {
    return !item.second.hides && now - item.second.at > kDepartureMemory;
  });
  return std::erase_if(servers_, [this, now](const auto& item) {
           const Server& server = item.second;
           if (!server.drop_at.has_value() || *server.drop_at > now) {
             return false;
           }
           Depart(now, server.backend.entry);
           // The entry had lapsed before the restore, and the copy may show it.
           departures_[item.first].binds = server.is_lapsed;
           departures_[item.first].hides = server.is_lapsed;
           return true;
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
