#include "libzinniastep/gateway/host_ring.h"

#include <algorithm>

#include "libzinniastep/base/hash.h"

namespace zinniastep {

HostRing::HostRing(std::span<const HostIdentity> hosts) {
  points_.reserve(hosts.size());
  for (const HostIdentity& host : hosts) {
    points_.push_back({StableHash(host.host.text()), host});
  }
  std::ranges::sort(points_, {}, &Point::hash);
}

auto HostRing::StartIndex(std::string_view name) const -> std::size_t {
  const auto found =
      std::ranges::lower_bound(points_, StableHash(name), {}, &Point::hash);
  return static_cast<std::size_t>(found - points_.begin());
}

auto HostRing::RankOf(const HostId& host,
                      std::string_view name,
                      std::size_t count) const -> std::size_t {
  const std::size_t start = StartIndex(name);
  for (std::size_t i = 0; i < std::min(count, points_.size()); ++i) {
    if (points_[(start + i) % points_.size()].host.host == host) {
      return i;
    }
  }
  return count;
}

auto HostRing::First(std::string_view name, std::size_t count) const
    -> std::vector<HostIdentity> {
  std::vector<HostIdentity> first;
  const std::size_t start = StartIndex(name);
  for (std::size_t i = 0; i < std::min(count, points_.size()); ++i) {
    first.push_back(points_[(start + i) % points_.size()].host);
  }
  return first;
}

}  // namespace zinniastep
