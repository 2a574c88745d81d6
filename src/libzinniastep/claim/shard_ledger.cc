#include "libzinniastep/claim/shard_ledger.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "libzinniastep/base/bounded_json.h"

namespace zinniastep {

namespace {

using Json = nlohmann::json;

auto Milliseconds(Duration duration) -> std::uint64_t {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

// Returns the resolved entries that may be dropped early, oldest first.
auto EarlyDroppable(const ShardLedger& ledger, const ClaimLimits& limits)
    -> std::vector<std::pair<std::uint64_t, KeyDigest>> {
  const std::uint64_t least = Milliseconds(limits.least_shard_retention);
  std::vector<std::pair<std::uint64_t, KeyDigest>> droppable;
  for (const auto& [key, entry] : ledger.entries) {
    if (entry.state != ClaimState::kHeld &&
        entry.millisecond + least < ledger.millisecond) {
      droppable.emplace_back(entry.millisecond, key);
    }
  }
  std::sort(droppable.begin(), droppable.end());
  return droppable;
}

}  // namespace

auto ShardLedger::DropOld(const ClaimLimits& limits) -> void {
  const std::uint64_t retention = Milliseconds(limits.shard_retention);
  std::erase_if(entries, [this, retention](const auto& item) {
    const ClaimEntry& entry = item.second;
    return entry.state != ClaimState::kHeld &&
           entry.millisecond + retention < millisecond;
  });
  if (entries.size() < limits.keys_per_shard) {
    return;
  }
  for (const auto& [age, key] : EarlyDroppable(*this, limits)) {
    if (entries.size() < limits.keys_per_shard) {
      return;
    }
    entries.erase(key);
  }
}

auto ShardPath(std::uint32_t shard) -> ObjectPath {
  return ObjectPath("claims/" + std::to_string(shard));
}

auto WriteShardLedger(const ShardLedger& ledger) -> std::string {
  Json entries = Json::array();
  for (const auto& [key, entry] : ledger.entries) {
    entries.push_back({key.text(), static_cast<int>(entry.state),
                       entry.request.incarnation, entry.request.sequence,
                       entry.body_hash, entry.millisecond});
  }
  return Json{{"millisecond", ledger.millisecond},
              {"entries", std::move(entries)}}
      .dump();
}

auto ReadShardLedger(std::string_view value) -> absl::StatusOr<ShardLedger> {
  try {
    const Json json = JsonOrThrow(value);
    ShardLedger ledger;
    ledger.millisecond = WholeOrThrow(json.at("millisecond"));
    for (const Json& item : json.at("entries")) {
      const int state = static_cast<int>(
          WholeOrThrow(item.at(1), std::numeric_limits<int>::max()));
      if (state < 0 || state > static_cast<int>(ClaimState::kUnknown)) {
        return absl::InvalidArgumentError("unknown claim state");
      }
      ClaimEntry entry;
      entry.state = static_cast<ClaimState>(state);
      entry.request = {WholeOrThrow(item.at(2)), WholeOrThrow(item.at(3))};
      entry.body_hash = WholeOrThrow(item.at(4));
      entry.millisecond = WholeOrThrow(item.at(5));
      ledger.entries.emplace(KeyDigest(item.at(0).get<std::string>()), entry);
    }
    return ledger;
  } catch (const Json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

}  // namespace zinniastep
