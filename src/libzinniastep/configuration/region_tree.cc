#include "libzinniastep/configuration/region_tree.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "libzinniastep/base/hash.h"

namespace zinniastep {

namespace {

using ScoredHost = std::pair<std::uint64_t, HostId>;

auto Hosts(const std::vector<ScoredHost>& scored) -> std::vector<HostId> {
  std::vector<HostId> hosts;
  hosts.reserve(scored.size());
  for (const auto& [score, host] : scored) {
    hosts.push_back(host);
  }
  return hosts;
}

}  // namespace

RegionTree::RegionTree(const ClusterView& cluster) {
  const HostIdentity& self = cluster.self();
  std::map<RegionId, std::vector<ScoredHost>> regions;
  for (const HostIdentity& host : cluster.live_hosts()) {
    const std::uint64_t score =
        StableHash(host.host.text(), StableHash(host.region.text()));
    regions[host.region].emplace_back(score, host.host);
  }
  for (auto& [region, scored] : regions) {
    if (region == self.region) {
      std::ranges::sort(scored);
      ranked_ = Hosts(scored);
      continue;
    }
    const auto first = std::min(scored.size(), kWatchersPerRegion);
    std::ranges::partial_sort(scored,
                              scored.begin() + static_cast<long>(first));
    scored.resize(first);
    other_regions_[region] = Hosts(scored);
  }
  const auto own = std::ranges::find(ranked_, self.host);
  rank_ = static_cast<std::size_t>(own - ranked_.begin());
  for (const HostId& host : ranked_) {
    if (host != self.host) {
      peers_.push_back(host);
    }
  }
}

auto RegionTree::Parent() const -> HostId {
  if (rank_ == 0 || rank_ >= ranked_.size()) {
    return {};
  }
  return ranked_[(rank_ - 1) / kTreeFanOut];
}

auto RegionTree::Children() const -> std::vector<HostId> {
  const std::size_t first = std::min(rank_ * kTreeFanOut + 1, ranked_.size());
  const std::size_t last = std::min(first + kTreeFanOut, ranked_.size());
  return {ranked_.begin() + static_cast<long>(first),
          ranked_.begin() + static_cast<long>(last)};
}

}  // namespace zinniastep
