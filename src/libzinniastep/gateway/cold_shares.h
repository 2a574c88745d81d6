#ifndef LIBZINNIASTEP_GATEWAY_COLD_SHARES_H_
#define LIBZINNIASTEP_GATEWAY_COLD_SHARES_H_

#include <cstddef>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/gateway/host_ring.h"

namespace zinniastep {

// Which hosts may send to a backend server in cold start, and how much. The
// limit is a sum over all hosts, known to each other or not: they use a part of
// it together, so that two groups that cannot see each other stay below the
// overage that operators allow.
class ColdShares {
 public:
  // `most_hosts` is the most hosts that were live at a time, since lost ones
  // may go on unseen.
  ColdShares(HostId self,
             const HostRing& ring,
             std::size_t most_hosts,
             bool joined);

  // Returns the requests a second that this host may send to a server whose
  // limit for all hosts is given; zero where others may.
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
