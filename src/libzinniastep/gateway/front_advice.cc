#include "libzinniastep/gateway/front_advice.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

#include "libzinniastep/base/hash.h"

namespace zinniastep {

namespace {

// With fewer hosts in the region one loss would leave a caller without any.
constexpr std::size_t kFewestFronts = 2;
// Hosts of a failure domain that are preferred: this many, or this part of them
// if that is more. A quarter leaves small hosts nine tenths of their processor
// time at three requests a second for each host of the fleet.
constexpr std::size_t kFewestPreferred = 8;
constexpr std::size_t kPreferredPart = 4;

}  // namespace

auto PreferredFronts(std::span<const HostIdentity> hosts)
    -> std::vector<HostIdentity> {
  std::map<FailureDomainId,
           std::vector<std::pair<std::uint64_t, const HostIdentity*>>>
      by_domain;
  for (const HostIdentity& host : hosts) {
    by_domain[host.domain].emplace_back(StableHash(host.host.text()), &host);
  }
  std::vector<HostIdentity> preferred;
  for (auto& [domain, ranked] : by_domain) {
    std::ranges::sort(ranked);
    const std::size_t count =
        std::min(ranked.size(),
                 std::max(kFewestPreferred, ranked.size() / kPreferredPart));
    for (std::size_t i = 0; i < count; ++i) {
      preferred.push_back(*ranked[i].second);
    }
  }
  return preferred;
}

auto AdviseFronts(const TrafficView& view, const RegionId& region)
    -> std::vector<std::string> {
  std::vector<std::string> near;
  std::vector<std::string> all;
  for (const FrontAddress& front : view.fronts) {
    if (front.preferred && front.region == region &&
        near.size() < kMostAdvisedFronts) {
      near.push_back(front.address);
    }
    if (all.size() < kMostAdvisedFronts) {
      all.push_back(front.address);
    }
  }
  return near.size() >= kFewestFronts ? near : all;
}

}  // namespace zinniastep
