#ifndef LIBZINNIASTEP_CORE_CLUSTER_VIEW_H_
#define LIBZINNIASTEP_CORE_CLUSTER_VIEW_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/core/host_identity.h"

namespace zinniastep {

// Number of shards that idempotency keys are hashed onto.
inline constexpr std::uint32_t kKeyShards = 64;

// Who holds a cell or key shard, and since which change of the assignment.
struct Holder {
  HostId host;
  Incarnation incarnation = 0;
  // Rises with each change of holder; the fencing number of orders.
  std::uint64_t epoch = 0;

  auto operator==(const Holder&) const -> bool = default;
};

// What this host believes about the other hosts and who is responsible for
// what. The belief may be old; whoever acts on it is checked by its holder.
class ClusterView {
 public:
  ClusterView() = default;
  ClusterView(const ClusterView&) = delete;
  auto operator=(const ClusterView&) -> ClusterView& = delete;
  virtual ~ClusterView() = default;

  // Returns this process.
  [[nodiscard]] virtual auto self() const -> const HostIdentity& = 0;

  // Returns all hosts believed to be live, this one included, by host id.
  [[nodiscard]] virtual auto live_hosts() const
      -> const std::vector<HostIdentity>& = 0;

  // Returns the live host that runs under an incarnation.
  [[nodiscard]] virtual auto FindIncarnation(Incarnation incarnation) const
      -> std::optional<HostIdentity> = 0;

  // Returns the authority of a shard of idempotency keys.
  [[nodiscard]] virtual auto KeyShardHolder(std::uint32_t shard) const
      -> std::optional<Holder> = 0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CORE_CLUSTER_VIEW_H_
