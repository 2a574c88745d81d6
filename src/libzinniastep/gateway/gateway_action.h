#ifndef LIBZINNIASTEP_GATEWAY_GATEWAY_ACTION_H_
#define LIBZINNIASTEP_GATEWAY_GATEWAY_ACTION_H_

#include <cstdint>
#include <memory>
#include <variant>

#include "libzinniastep/core/action.h"
#include "libzinniastep/core/host_identity.h"
#include "libzinniastep/gateway/backend_entry.h"
#include "libzinniastep/gateway/messages.h"
#include "libzinniastep/gateway/record_watcher.h"
#include "libzinniastep/gateway/rollout_guard.h"

namespace zinniastep {

// Writes this host's addresses to the store, for other hosts to join through.
struct RegisterHost {
  HostIdentity identity;
};

// Publishes a new view to the traffic thread.
struct PublishView {
  std::shared_ptr<const TrafficView> view;
};

// Passes what a peer knows of prompt parts that crash servers to the traffic
// thread.
struct DeliverCrashReport {
  CrashReport report;
};

using GatewayAction = std::variant<ListRecords,
                                   WatchRecords,
                                   RolloutStatusWrite,
                                   RegisterHost,
                                   ReadHostList,
                                   PublishView,
                                   DeliverCrashReport,
                                   SendToPeer,
                                   LogEvent>;

// The result of a write to the store.
enum class WriteOutcome : std::uint8_t { kDone, kConflict, kRefused, kSilent };

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_GATEWAY_ACTION_H_
