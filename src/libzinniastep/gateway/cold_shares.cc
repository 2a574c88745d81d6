#include "libzinniastep/gateway/cold_shares.h"

#include <algorithm>
#include <utility>

namespace zinniastep {

namespace {

// Fraction of a cold server's limit that all hosts use together; the rest is a
// margin for hosts that disagree on the number of hosts.
constexpr double kUsedFraction = 0.6;
// Requests per second of a host that has not contacted its peers yet.
constexpr double kRateBeforeJoin = 0.4;
// If each host would get fewer requests per second than this, only a few hosts
// share a server's limit.
constexpr double kMinRatePerHost = 0.5;
constexpr std::size_t kMaxSharers = 4;
// Requests per second for each of these hosts, from which their number follows.
constexpr double kRatePerSharer = 2.0;

}  // namespace

ColdShares::ColdShares(HostId self,
                       const HostRing& ring,
                       std::size_t most_hosts,
                       bool joined)
    : self_(std::move(self)),
      ring_(ring),
      most_hosts_(static_cast<double>(std::max<std::size_t>(most_hosts, 1))),
      joined_(joined) {}

auto ColdShares::RateFor(const BackendServerId& server, double limit) const
    -> double {
  const double used = limit * kUsedFraction;
  if (!joined_) {
    return kRateBeforeJoin;
  }
  if (used / most_hosts_ >= kMinRatePerHost) {
    return used / most_hosts_;
  }
  const std::size_t sharers = std::clamp<std::size_t>(
      static_cast<std::size_t>(used / kRatePerSharer), 1, kMaxSharers);
  return ring_.RankOf(self_, server.text(), sharers) < sharers
             ? used / static_cast<double>(sharers)
             : 0.0;
}

}  // namespace zinniastep
