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

// Selects the backend servers for the traffic thread's view.
class ViewBuilder {
 public:
  // Returns the servers that may be used. Servers of a version that is listed
  // before its roll-out order are left out for a while; `again_at` is set to
  // the time of the next check. `is_first` is whether no view was built before,
  // in which case no listed version counts as new.
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

// Returns the rate at which this host may send to each server while the server
// is cold, in requests per second.
[[nodiscard]] auto ColdRates(const std::vector<UsableBackend>& backends,
                             const TrafficPolicy& policy,
                             const ColdShares& shares)
    -> std::map<BackendServerId, double>;

// Returns the live hosts that are not leaving.
[[nodiscard]] auto StayingHosts(const Membership& membership)
    -> std::vector<HostIdentity>;

// Returns the addresses to which callers may be directed; `preferred` is a
// subset of `hosts`.
[[nodiscard]] auto FrontsOf(const std::vector<HostIdentity>& hosts,
                            const std::vector<HostIdentity>& preferred)
    -> std::vector<FrontAddress>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_VIEW_BUILDER_H_
