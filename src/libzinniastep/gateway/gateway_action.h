#ifndef LIBZINNIASTEP_GATEWAY_GATEWAY_ACTION_H_
#define LIBZINNIASTEP_GATEWAY_GATEWAY_ACTION_H_

#include <cstdint>
#include <memory>
#include <variant>

#include "libzinniastep/core/action.h"
#include "libzinniastep/core/host_identity.h"
#include "libzinniastep/gateway/backend_entry.h"
#include "libzinniastep/gateway/record_watcher.h"
#include "libzinniastep/gateway/rollout_guard.h"

namespace zinniastep {

// Write this host's addresses into the store, for others to join through.
struct RegisterHost {
  HostIdentity identity;
};

// A newer view is there for the traffic thread.
struct PublishView {
  std::shared_ptr<const TrafficView> view;
};

using GatewayAction = std::variant<ListRecords,
                                   WatchRecords,
                                   RolloutStatusWrite,
                                   RegisterHost,
                                   ReadHostList,
                                   PublishView,
                                   SendToPeer,
                                   LogEvent>;

// How a write to the store ended.
enum class WriteOutcome : std::uint8_t { kDone, kConflict, kRefused, kSilent };

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_GATEWAY_ACTION_H_
