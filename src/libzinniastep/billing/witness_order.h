#ifndef LIBZINNIASTEP_BILLING_WITNESS_ORDER_H_
#define LIBZINNIASTEP_BILLING_WITNESS_ORDER_H_

#include <cstddef>
#include <vector>

#include "libzinniastep/core/cluster_view.h"
#include "libzinniastep/core/host_identity.h"

namespace zinniastep {

// The hosts that may keep copies of this host's bills, best first: one host of
// each other failure domain of the region, one of each domain elsewhere, then
// the second of each, and at the end those of this host's own domain.
struct WitnessOrder {
  std::vector<HostIdentity> hosts;
  // How many copies a bill is meant to have.
  std::size_t wanted = 0;
};

// Returns the order for this host.
[[nodiscard]] auto OrderWitnesses(const ClusterView& cluster) -> WitnessOrder;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_BILLING_WITNESS_ORDER_H_
