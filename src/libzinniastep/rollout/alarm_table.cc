#include "libzinniastep/rollout/alarm_table.h"

#include <algorithm>
#include <cstddef>

namespace zinniastep {

namespace {

constexpr std::size_t kMaxAlarms = 1024;

// Returns whether the document gives the version no new work because the
// version is withdrawn or its roll-out is held.
auto BlocksNewWork(const Document& document, const VersionRule& rule) -> bool {
  if (rule.state == VersionState::kWithdrawn) {
    return true;
  }
  return std::ranges::any_of(
      document.rollouts, [&](const RolloutRule& rollout) {
        return rollout.model == rule.id.model &&
               rollout.to_version == rule.id.version &&
               rollout.state == RolloutRule::State::kHeld;
      });
}

}  // namespace

auto AlarmTable::Raise(const EvidenceAlarm& alarm) -> bool {
  const auto lifted = lifted_generations_.find(alarm.scope);
  const bool outdated =
      lifted != lifted_generations_.end() && alarm.generation < lifted->second;
  if (outdated || alarms_.contains(alarm.scope) ||
      alarms_.size() >= kMaxAlarms) {
    return false;
  }
  alarms_.emplace(alarm.scope, Entry{alarm});
  return true;
}

auto AlarmTable::Find(const ModelVersion& version,
                      const ClientAccountId& account,
                      const TaskClassId& task_class) const
    -> const EvidenceAlarm* {
  if (alarms_.empty()) {
    return nullptr;
  }
  for (const EvidenceScope& scope :
       {EvidenceScope{version, {}, {}}, EvidenceScope{version, account, {}},
        EvidenceScope{version, {}, task_class}}) {
    if (const auto found = alarms_.find(scope); found != alarms_.end()) {
      return &found->second.alarm;
    }
  }
  return nullptr;
}

auto AlarmTable::FindAny(const ModelVersion& version) const
    -> const EvidenceAlarm* {
  const auto found = alarms_.lower_bound({version, {}, {}});
  const bool matches =
      found != alarms_.end() && found->first.version == version;
  return matches ? &found->second.alarm : nullptr;
}

auto AlarmTable::OnDocument(const Document& document)
    -> std::vector<EvidenceScope> {
  std::vector<EvidenceScope> lifted;
  for (auto it = alarms_.begin(); it != alarms_.end();) {
    const auto rule = std::ranges::find(document.versions, it->first.version,
                                        &VersionRule::id);
    if (rule == document.versions.end()) {
      ++it;
      continue;
    }
    const bool blocked = BlocksNewWork(document, *rule);
    it->second.confirmed = it->second.confirmed || blocked;
    if (blocked || !it->second.confirmed) {
      ++it;
      continue;
    }
    lifted.push_back(it->first);
    if (lifted_generations_.size() < kMaxAlarms) {
      lifted_generations_[it->first] = document.generation;
    }
    it = alarms_.erase(it);
  }
  return lifted;
}

}  // namespace zinniastep
