#ifndef LIBZINNIASTEP_GATEWAY_HOST_RING_H_
#define LIBZINNIASTEP_GATEWAY_HOST_RING_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "libzinniastep/core/host_identity.h"

namespace zinniastep {

// Consistent-hash ring of the hosts. A name is assigned to the hosts that
// follow its hash on the ring. Hosts with the same list of hosts compute the
// same assignment without communication, and adding or removing a host changes
// the assignment of few names.
class HostRing {
 public:
  HostRing() = default;
  // Building a ring of 2,000 hosts takes well under a millisecond; a lookup
  // takes logarithmic time.
  explicit HostRing(std::span<const HostIdentity> hosts);

  // Returns a host's zero-based rank among the first `count` hosts of a name,
  // or `count` if the host is not among them.
  [[nodiscard]] auto RankOf(const HostId& host,
                            std::string_view name,
                            std::size_t count) const -> std::size_t;

  // Returns the first `count` hosts of a name.
  [[nodiscard]] auto First(std::string_view name, std::size_t count) const
      -> std::vector<HostIdentity>;

  [[nodiscard]] auto size() const -> std::size_t { return points_.size(); }

 private:
  struct Point {
    std::uint64_t hash = 0;
    HostIdentity host;
  };

  [[nodiscard]] auto StartIndex(std::string_view name) const -> std::size_t;

  std::vector<Point> points_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_HOST_RING_H_
