#include "libzinniastep/gateway/backend_roster.h"

#include <algorithm>
#include <set>

namespace zinniastep {

auto BackendRoster::Take(Instant now, const BackendEntry& entry) -> void {
  const auto found = known_.find(entry.id);
  if (found == known_.end()) {
    known_[entry.id] = {{entry, now + entry.cold_left}, std::nullopt};
    return;
  }
  Known& known = found->second;
  known.drop_at.reset();
  const BackendEntry& before = known.backend.entry;
  if (entry.started < before.started) {
    return;
  }
  if (entry.started > before.started) {
    known.backend = {entry, now + entry.cold_left};
    return;
  }
  if (entry.sequence < before.sequence || entry == before) {
    return;
  }
  const bool leaving = before.draining;
  const Duration cold_before = before.cold_left;
  known.backend.entry = entry;
  known.backend.entry.draining = leaving || entry.draining;
  if (entry.cold_left != cold_before) {
    known.backend.cold_until =
        std::max(known.backend.cold_until, now + entry.cold_left);
  }
}

auto BackendRoster::Update(Instant now,
                           const std::vector<BackendEntry>& entries) -> void {
  std::set<BackendServerId> listed;
  for (const BackendEntry& entry : entries) {
    listed.insert(entry.id);
    Take(now, entry);
  }
  for (auto item = known_.begin(); item != known_.end();) {
    Known& known = item->second;
    if (!listed.contains(item->first)) {
      if (known.backend.entry.draining) {
        item = known_.erase(item);
        continue;
      }
      if (!known.drop_at.has_value()) {
        known.drop_at = now + grace_;
      }
    }
    ++item;
  }
}

auto BackendRoster::MarkCold(const FailureDomainId& domain, Instant until)
    -> void {
  for (auto& [id, known] : known_) {
    if (known.backend.entry.domain == domain) {
      known.backend.cold_until = std::max(known.backend.cold_until, until);
    }
  }
}

auto BackendRoster::Expire(Instant now) -> bool {
  return std::erase_if(known_, [now](const auto& item) {
           return item.second.drop_at.has_value() &&
                  *item.second.drop_at <= now;
         }) > 0;
}

auto BackendRoster::usable() const -> std::vector<UsableBackend> {
  std::vector<UsableBackend> usable;
  for (const auto& [id, known] : known_) {
    if (!known.backend.entry.draining) {
      usable.push_back(known.backend);
    }
  }
  return usable;
}

}  // namespace zinniastep
