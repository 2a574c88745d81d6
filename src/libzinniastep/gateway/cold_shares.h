#ifndef LIBZINNIASTEP_GATEWAY_COLD_SHARES_H_
#define LIBZINNIASTEP_GATEWAY_COLD_SHARES_H_

#include <cstddef>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/gateway/host_ring.h"

namespace zinniastep {

// Divides the limit of a backend server in cold start among the hosts. The
// limit applies to the sum over all hosts, whether or not they can reach each
// other. The hosts use only a part of it together, so that two partitioned
// groups stay below the overage that operators allow.
class ColdShares {
 public:
  // `most_hosts` is the highest number of hosts that were live at a time, since
  // lost hosts may still be running without being visible. `joined` is whether
  // this host has contacted its peers.
  ColdShares(HostId self,
             const HostRing& ring,
             std::size_t most_hosts,
             bool joined);

  // Returns the requests per second that this host may send to a server, given
  // the server's limit for all hosts; zero if only other hosts may send to it.
  [[nodiscard]] auto RateFor(const BackendServerId& server, double limit) const
      -> double;

 private:
  HostId self_;
  const HostRing& ring_;
  double most_hosts_;
  bool joined_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_COLD_SHARES_H_
