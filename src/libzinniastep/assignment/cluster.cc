#include "libzinniastep/assignment/cluster.h"

namespace zinniastep {

auto Cluster::self() const -> const HostIdentity& {
  return membership_.self();
}

auto Cluster::live_hosts() const -> const std::vector<HostIdentity>& {
  return membership_.live_hosts();
}

auto Cluster::FindIncarnation(Incarnation incarnation) const
    -> std::optional<HostIdentity> {
  return membership_.FindIncarnation(incarnation);
}

auto Cluster::KeyShardHolder(std::uint32_t shard) const
    -> std::optional<Holder> {
  return assignment_.KeyShardHolder(shard);
}

}  // namespace zinniastep
