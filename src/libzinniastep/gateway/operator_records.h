#ifndef LIBZINNIASTEP_GATEWAY_OPERATOR_RECORDS_H_
#define LIBZINNIASTEP_GATEWAY_OPERATOR_RECORDS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/gateway/gateway_outbox.h"
#include "libzinniastep/gateway/record_decoders.h"
#include "libzinniastep/gateway/record_mirror.h"
#include "libzinniastep/gateway/rollout_guard.h"
#include "libzinniastep/gateway/traffic_policy.h"

namespace zinniastep {

// The operators' requests: the configuration in force, roll-outs, and evacuated
// failure domains. Records that cannot be read change nothing.
class OperatorRecords {
 public:
  using Records = std::map<std::string, StoredRecord>;

  explicit OperatorRecords(RecordDecoders decoders);

  // Updates the configuration. An older version never replaces a newer one,
  // whatever its source.
  auto TakeConfiguration(const Records& records, GatewayOutbox& outbox) -> void;

  // Returns the roll-outs. One that cannot be read stays as it was last read:
  // without its order the target's servers would be used like any others.
  [[nodiscard]] auto ReadRollouts(const Records& records, GatewayOutbox& outbox)
      -> std::vector<RolloutRecord>;

  // Returns the roll-outs of records that can be read. Changes nothing.
  [[nodiscard]] auto DecodeRollouts(std::span<const KeptRecord> records) const
      -> std::vector<RolloutRecord>;

  // Returns the version of a configuration, or nullopt if it is unreadable.
  [[nodiscard]] auto ConfigurationVersion(const StoredRecord& record) const
      -> std::optional<std::uint64_t>;

  // Updates the evacuated domains. Returns those that are no longer evacuated.
  auto TakeEvacuations(const Records& records, GatewayOutbox& outbox)
      -> std::set<FailureDomainId>;

  // Null until the first configuration is known.
  [[nodiscard]] auto policy() const
      -> const std::shared_ptr<const TrafficPolicy>& {
    return policy_;
  }
  [[nodiscard]] auto evacuated() const -> const std::set<FailureDomainId>& {
    return evacuated_;
  }

 private:
  RecordDecoders decoders_;
  std::shared_ptr<const TrafficPolicy> policy_;
  std::set<FailureDomainId> evacuated_;
  std::map<std::string, RolloutRecord> last_sound_rollouts_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_OPERATOR_RECORDS_H_
