#ifndef LIBZINNIASTEP_NODE_ADDRESS_LIST_H_
#define LIBZINNIASTEP_NODE_ADDRESS_LIST_H_

#include <cstddef>
#include <string>
#include <vector>

#include "libzinniastep/core/host_identity.h"
#include "libzinniastep/membership/membership.h"

namespace zinniastep {

// Returns the addresses that callers should use: this host first unless it
// leaves, then others that do not leave, taking turns between the failure
// domains of this region and then those of others. Each host begins at another
// place, so that callers spread evenly.
[[nodiscard]] auto CallerAddresses(const Membership& membership,
                                   const HostIdentity& self,
                                   bool self_leaves,
                                   std::size_t most)
    -> std::vector<std::string>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_NODE_ADDRESS_LIST_H_
