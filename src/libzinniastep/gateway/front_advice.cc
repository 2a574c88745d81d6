#include "libzinniastep/gateway/front_advice.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

#include "libzinniastep/base/hash.h"

namespace zinniastep {

namespace {

// With fewer hosts in the region, the loss of one would leave a caller without
// a host.
constexpr std::size_t kMinFronts = 2;
// Preferred hosts of a failure domain: at least this number, or the number of
// its hosts divided by kPreferredDivisor if that is more. With a quarter of the
// hosts preferred, small hosts keep nine tenths of their processor time free at
// three requests a second for each host of the fleet.
constexpr std::size_t kMinPreferred = 8;
constexpr std::size_t kPreferredDivisor = 4;

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
                 std::max(kMinPreferred, ranked.size() / kPreferredDivisor));
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
  return near.size() >= kMinFronts ? near : all;
}

}  // namespace zinniastep
