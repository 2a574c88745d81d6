#ifndef LIBZINNIASTEP_CONFIGURATION_REGION_TREE_H_
#define LIBZINNIASTEP_CONFIGURATION_REGION_TREE_H_

#include <cstddef>
#include <map>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/core/cluster_view.h"

namespace zinniastep {

// Children of one host in the tree of its region.
inline constexpr std::size_t kTreeFanOut = 8;
// Hosts of a region that watch the object API.
inline constexpr std::size_t kWatchersPerRegion = 2;

// The order of the live hosts of each region that every host with the same
// view works out for itself (rendezvous hashing): the first ones watch the
// object API, and all form a tree along which sums go up and news comes down.
class RegionTree {
 public:
  RegionTree() = default;
  explicit RegionTree(const ClusterView& cluster);

  [[nodiscard]] auto IsRoot() const -> bool { return rank_ == 0; }
  [[nodiscard]] auto IsWatcher() const -> bool {
    return rank_ < kWatchersPerRegion;
  }

  // Returns the parent; empty for the root.
  [[nodiscard]] auto Parent() const -> HostId;
  [[nodiscard]] auto Children() const -> std::vector<HostId>;

  // Returns the hosts of this region but this one.
  [[nodiscard]] auto peers() const -> const std::vector<HostId>& {
    return peers_;
  }

  // Returns the first hosts of each other region, in their order.
  [[nodiscard]] auto other_regions() const
      -> const std::map<RegionId, std::vector<HostId>>& {
    return other_regions_;
  }

 private:
  std::vector<HostId> ranked_;
  std::vector<HostId> peers_;
  std::map<RegionId, std::vector<HostId>> other_regions_;
  std::size_t rank_ = 0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_REGION_TREE_H_
