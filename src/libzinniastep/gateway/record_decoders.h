#ifndef LIBZINNIASTEP_GATEWAY_RECORD_DECODERS_H_
#define LIBZINNIASTEP_GATEWAY_RECORD_DECODERS_H_

#include <functional>
#include <memory>

#include <absl/status/statusor.h>

#include "libzinniastep/gateway/backend_entry.h"
#include "libzinniastep/gateway/record_mirror.h"
#include "libzinniastep/gateway/rollout_guard.h"
#include "libzinniastep/gateway/traffic_policy.h"

namespace zinniastep {

// Functions that decode the store's objects into the gateway's types. They
// return an error for an object that cannot be read; such an object has no
// effect.
struct RecordDecoders {
  std::function<absl::StatusOr<std::shared_ptr<const TrafficPolicy>>(
      const StoredRecord&)>
      policy;
  std::function<absl::StatusOr<BackendEntry>(const StoredRecord&)> backend;
  std::function<absl::StatusOr<RolloutRecord>(const StoredRecord&)> rollout;
  std::function<absl::StatusOr<FailureDomainId>(const StoredRecord&)>
      evacuation;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_RECORD_DECODERS_H_
