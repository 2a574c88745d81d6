#include "libzinniastep/gateway/operator_records.h"

#include <utility>

namespace zinniastep {

OperatorRecords::OperatorRecords(RecordDecoders decoders)
    : decoders_(std::move(decoders)) {}

auto OperatorRecords::TakeConfiguration(const Records& records,
                                        GatewayOutbox& outbox) -> void {
  for (const auto& [name, record] : records) {
    auto policy = decoders_.policy(record);
    if (!policy.ok()) {
      outbox.Log("configuration_unreadable",
                 {{"name", name},
                  {"revision", std::to_string(record.revision)},
                  {"reason", std::string(policy.status().message())}});
      continue;
    }
    if (policy_ == nullptr || (*policy)->version() > policy_->version()) {
      for (const UnreadableRule& rule : (*policy)->unreadable()) {
        outbox.Log("configuration_rule_unreadable",
                   {{"version", std::to_string((*policy)->version())},
                    {"kind", std::string(ToString(rule.kind))},
                    {"name", rule.name},
                    {"reason", rule.reason}});
      }
      policy_ = (*policy)->unreadable().empty()
                    ? *std::move(policy)
                    : (*policy)->WithLastSound(policy_.get());
      outbox.Log(
          "configuration_in_force",
          {{"version", std::to_string(policy_->version())},
           {"revision", std::to_string(record.revision)},
           {"routes", std::to_string(policy_->routes().size())},
           {"accounts", std::to_string(policy_->access().accounts().size())},
           {"requires_key", policy_->access().requires_key() ? "yes" : "no"}});
    }
  }
}

auto OperatorRecords::ReadRollouts(const Records& records,
                                   GatewayOutbox& outbox)
    -> std::vector<RolloutRecord> {
  std::vector<RolloutRecord> rollouts;
  rollouts.reserve(records.size());
  std::erase_if(last_sound_rollouts_, [&records](const auto& item) {
    return !records.contains(item.first);
  });
  for (const auto& [name, record] : records) {
    auto rollout = decoders_.rollout(record);
    if (rollout.ok()) {
      last_sound_rollouts_[name] = *rollout;
      rollouts.push_back(*std::move(rollout));
      continue;
    }
    const auto last = last_sound_rollouts_.find(name);
    if (last != last_sound_rollouts_.end()) {
      rollouts.push_back(last->second);
      rollouts.back().revision = record.revision;
    }
    outbox.Log(
        "rollout_unreadable",
        {{"name", name}, {"reason", std::string(rollout.status().message())}});
  }
  return rollouts;
}

auto OperatorRecords::DecodeRollouts(std::span<const KeptRecord> records) const
    -> std::vector<RolloutRecord> {
  std::vector<RolloutRecord> rollouts;
  for (const KeptRecord& kept : records) {
    if (kept.is_removal) {
      continue;
    }
    if (auto rollout = decoders_.rollout(kept.record); rollout.ok()) {
      rollouts.push_back(*std::move(rollout));
    }
  }
  return rollouts;
}

auto OperatorRecords::ConfigurationVersion(const StoredRecord& record) const
    -> std::optional<std::uint64_t> {
  const auto policy = decoders_.policy(record);
  return policy.ok() ? std::optional((*policy)->version()) : std::nullopt;
}

auto OperatorRecords::TakeEvacuations(const Records& records,
                                      GatewayOutbox& outbox)
    -> std::set<FailureDomainId> {
  std::set<FailureDomainId> evacuated;
  for (const auto& [name, record] : records) {
    auto domain = decoders_.evacuation(record);
    if (domain.ok()) {
      evacuated.insert(*std::move(domain));
    }
  }
  std::set<FailureDomainId> returned;
  for (const FailureDomainId& domain : evacuated_) {
    if (!evacuated.contains(domain)) {
      returned.insert(domain);
      outbox.Log("domain_returned", {{"domain", domain.text()}});
    }
  }
  for (const FailureDomainId& domain : evacuated) {
    if (!evacuated_.contains(domain)) {
      outbox.Log("domain_taken_out", {{"domain", domain.text()}});
    }
  }
  evacuated_ = std::move(evacuated);
  return returned;
}

}  // namespace zinniastep
