#ifndef LIBZINNIASTEP_GATEWAY_FRONT_ADVICE_H_
#define LIBZINNIASTEP_GATEWAY_FRONT_ADVICE_H_

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/core/host_identity.h"
#include "libzinniastep/gateway/backend_entry.h"

namespace zinniastep {

// Maximum number of addresses in the list for a caller.
inline constexpr std::size_t kMostAdvisedFronts = 64;

// Returns the hosts to which callers are directed: some of each failure domain,
// and all of a domain with few hosts. A host that serves many callers receives
// load reports of backend servers sooner and reuses connections to them. Hosts
// with the same list of hosts compute the same result without communication.
[[nodiscard]] auto PreferredFronts(std::span<const HostIdentity> hosts)
    -> std::vector<HostIdentity>;

// Returns where callers of a region should connect: its preferred live hosts,
// or all hosts if the region has too few to tolerate the loss of one.
[[nodiscard]] auto AdviseFronts(const TrafficView& view, const RegionId& region)
    -> std::vector<std::string>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_FRONT_ADVICE_H_
