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
      policy_ = *std::move(policy);
      outbox.Log("configuration_in_force",
                 {{"version", std::to_string(policy_->version())},
                  {"revision", std::to_string(record.revision)}});
    }
  }
}

auto OperatorRecords::ReadRollouts(const Records& records,
                                   GatewayOutbox& outbox) const
    -> std::vector<RolloutRecord> {
  std::vector<RolloutRecord> rollouts;
  rollouts.reserve(records.size());
  for (const auto& [name, record] : records) {
    auto rollout = decoders_.rollout(record);
    if (rollout.ok()) {
      rollouts.push_back(*std::move(rollout));
      continue;
    }
    outbox.Log(
        "rollout_unreadable",
        {{"name", name}, {"reason", std::string(rollout.status().message())}});
  }
  return rollouts;
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
