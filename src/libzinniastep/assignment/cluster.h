#ifndef LIBZINNIASTEP_ASSIGNMENT_CLUSTER_H_
#define LIBZINNIASTEP_ASSIGNMENT_CLUSTER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "libzinniastep/assignment/assignment.h"
#include "libzinniastep/core/cluster_view.h"
#include "libzinniastep/membership/membership.h"

namespace zinniastep {

// Implements ClusterView from the membership and the assignment tables.
class Cluster : public ClusterView {
 public:
  Cluster(const Membership& membership, const Assignment& assignment)
      : membership_(membership), assignment_(assignment) {}

  [[nodiscard]] auto self() const -> const HostIdentity& override;
  [[nodiscard]] auto live_hosts() const
      -> const std::vector<HostIdentity>& override;
  [[nodiscard]] auto FindIncarnation(Incarnation incarnation) const
      -> std::optional<HostIdentity> override;
  [[nodiscard]] auto KeyShardHolder(std::uint32_t shard) const
      -> std::optional<Holder> override;

 private:
  const Membership& membership_;
  const Assignment& assignment_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_ASSIGNMENT_CLUSTER_H_
