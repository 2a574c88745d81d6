#ifndef LIBZINNIASTEP_CONFIGURATION_KNOWN_HOSTS_H_
#define LIBZINNIASTEP_CONFIGURATION_KNOWN_HOSTS_H_

#include <cstddef>
#include <map>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/core/host_identity.h"

namespace zinniastep {

// All hosts that were live at some time of late. A majority is one of these:
// hosts that have become unreachable still count, so that a small part of a
// divided deployment never takes itself for the whole.
class KnownHosts {
 public:
  explicit KnownHosts(Duration remember) : remember_(remember) {}

  // Takes in who is live now, and forgets who has not been for long.
  auto Observe(Instant now, const std::vector<HostIdentity>& live) -> void;

  // Returns the least number of hosts that is a majority.
  [[nodiscard]] auto Majority() const -> std::size_t {
    return seen_.size() / 2 + 1;
  }

 private:
  Duration remember_;
  std::map<HostId, Instant> seen_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_KNOWN_HOSTS_H_
