#ifndef LIBZINNIASTEP_GATEWAY_VIEW_BUILDER_H_
#define LIBZINNIASTEP_GATEWAY_VIEW_BUILDER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libzinniastep/gateway/backend_entry.h"
#include "libzinniastep/gateway/cold_shares.h"
#include "libzinniastep/gateway/traffic_policy.h"
#include "libzinniastep/membership/membership.h"

namespace zinniastep {

// Decides which backend servers and hosts the traffic thread sees.
class ViewBuilder {
 public:
  // Returns the servers that may be used. Those of a version that is listed
  // before the order that brings it are left out for a while; `again_at` is set
  // to when that may change. `is_first` is whether no view was built before, so
  // that all versions have been there.
  auto AcceptedBackends(Instant now,
                        std::vector<UsableBackend> usable,
                        const std::vector<RolloutSplit>& splits,
                        bool is_first,
                        std::optional<Instant>& again_at)
      -> std::vector<UsableBackend>;

 private:
  // When each version of a service was first listed.
  std::map<std::pair<ServiceId, std::string>, Instant> version_seen_;
};

// Returns what this host may send to each server while it is cold, in requests
// a second.
[[nodiscard]] auto ColdRates(const std::vector<UsableBackend>& backends,
                             const TrafficPolicy& policy,
                             const ColdShares& shares)
    -> std::map<BackendServerId, double>;

// Returns the live hosts that do not leave.
[[nodiscard]] auto StayingHosts(const Membership& membership)
    -> std::vector<HostIdentity>;

// Returns the hosts that callers may be sent to; `preferred` are some of them.
[[nodiscard]] auto FrontsOf(const std::vector<HostIdentity>& hosts,
                            const std::vector<HostIdentity>& preferred)
    -> std::vector<FrontAddress>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_VIEW_BUILDER_H_
