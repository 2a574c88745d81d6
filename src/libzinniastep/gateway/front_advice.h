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

// Longest list of addresses that a caller gets.
inline constexpr std::size_t kMostAdvisedFronts = 64;

// Returns the hosts that callers are sent to, out of those that may be: some of
// each failure domain, and all of a domain that has few. A host that serves
// many callers learns sooner how busy backend servers are, and uses their
// connections again. All hosts that know the same others agree without a word.
[[nodiscard]] auto PreferredFronts(std::span<const HostIdentity> hosts)
    -> std::vector<HostIdentity>;

// Returns where callers of a region should connect: its preferred live hosts,
// or all hosts when the region has too few to bear a loss.
[[nodiscard]] auto AdviseFronts(const TrafficView& view, const RegionId& region)
    -> std::vector<std::string>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_FRONT_ADVICE_H_
