#include "libzinniastep/gateway/backend_listing.h"

#include <utility>

namespace zinniastep {

BackendListing::BackendListing(Decoder decoder)
    : decoder_(std::move(decoder)) {}

auto BackendListing::Decode(const StoredRecord& record, GatewayOutbox& outbox)
    -> void {
  auto entry = decoder_(record);
  if (entry.ok()) {
    const auto cold =
        std::chrono::duration_cast<std::chrono::milliseconds>(entry->cold_left);
    outbox.Log("backend_server_listed",
               {{"server", entry->id.text()},
                {"version", entry->version},
                {"draining", entry->draining ? "yes" : "no"},
                {"cold_ms", std::to_string(cold.count())},
                {"started", std::to_string(entry->started)},
                {"sequence", std::to_string(entry->sequence)}});
  } else {
    outbox.Log("backend_server_unreadable",
               {{"name", record.name},
                {"revision", std::to_string(record.revision)},
                {"reason", std::string(entry.status().message())}});
  }
  items_.insert_or_assign(record.name,
                          Item{record.position(), std::move(entry)});
}

auto BackendListing::Update(const std::map<std::string, StoredRecord>& records,
                            GatewayOutbox& outbox) -> void {
  for (const auto& [name, record] : records) {
    const auto known = items_.find(name);
    if (known == items_.end() || known->second.position != record.position()) {
      Decode(record, outbox);
    }
  }
  for (auto item = items_.begin(); item != items_.end();) {
    if (records.contains(item->first)) {
      ++item;
      continue;
    }
    outbox.Log("backend_server_unlisted", {{"server", item->first}});
    item = items_.erase(item);
  }
}

auto BackendListing::entries() const -> std::vector<BackendEntry> {
  std::vector<BackendEntry> entries;
  for (const auto& [name, item] : items_) {
    if (item.entry.ok()) {
      entries.push_back(*item.entry);
    }
  }
  return entries;
}

}  // namespace zinniastep
