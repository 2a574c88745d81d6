#include "libzinniastep/gateway/restored_rollouts.h"

#include <algorithm>

namespace zinniastep {

namespace {

auto IsFinal(const std::optional<RolloutState>& state) -> bool {
  return state.has_value() && *state != RolloutState::kRunning;
}

auto HaveSameOrder(const RolloutRecord& one, const RolloutRecord& other)
    -> bool {
  return one.order.service == other.order.service &&
         one.order.target_version == other.order.target_version;
}

}  // namespace

auto RestoredRollouts::Translate(RolloutRecord& record) const -> void {
  const auto found = continued_.find({record.name, record.created});
  if (found == continued_.end() ||
      found->second.service != record.order.service ||
      found->second.target_version != record.order.target_version) {
    return;
  }
  record.created = found->second.created;
  record.settled = found->second.settled;
}

auto RestoredRollouts::Continue(const RolloutRecord& shown,
                                const RolloutRecord& kept) -> void {
  std::optional<RolloutState> settled = kept.settled;
  if (IsFinal(kept.state) && kept.state_target == kept.order.target_version) {
    settled = kept.state;
  }
  continued_[{shown.name, shown.created}] = {
      shown.order.service, shown.order.target_version, kept.created, settled};
}

auto RestoredRollouts::Merge(std::vector<RolloutRecord> shown,
                             const std::vector<RolloutRecord>& kept)
    -> std::vector<RolloutRecord> {
  std::map<std::string, RolloutRecord> kept_by_name;
  for (RolloutRecord record : kept) {
    Translate(record);
    record.in_store = false;
    kept_by_name.insert_or_assign(record.name, std::move(record));
  }
  std::vector<RolloutRecord> merged;
  for (RolloutRecord& record : shown) {
    const auto now_kept = kept_by_name.find(record.name);
    const auto last_kept = last_kept_.find(record.name);
    const bool is_kept = now_kept != kept_by_name.end();
    const RolloutRecord* before = is_kept ? &now_kept->second
                                  : last_kept != last_kept_.end()
                                      ? &last_kept->second
                                      : nullptr;
    if (before != nullptr && HaveSameOrder(record, *before)) {
      Continue(record, *before);
    } else if (is_kept) {
      continue;
    }
    Translate(record);
    merged.push_back(std::move(record));
  }
  for (const auto& item : kept_by_name) {
    if (std::ranges::none_of(merged, [&item](const RolloutRecord& other) {
          return other.name == item.first;
        })) {
      merged.push_back(item.second);
    }
  }
  last_kept_ = std::move(kept_by_name);
  return merged;
}

}  // namespace zinniastep
