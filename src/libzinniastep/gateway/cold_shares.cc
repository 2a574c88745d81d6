#include "libzinniastep/gateway/cold_shares.h"

#include <algorithm>
#include <utility>

namespace zinniastep {

namespace {

// Part of a cold server's limit that all hosts use together; the rest is for
// hosts that disagree on how many they are.
constexpr double kUsedPart = 0.6;
// A host that has not met its peers yet takes this much, in requests a second.
constexpr double kRateAlone = 0.4;
// With less than this a second each, few hosts share a server's limit.
constexpr double kLeastRate = 0.5;
constexpr std::size_t kMostSharers = 4;
// Requests a second for each of few sharers.
constexpr double kSharersRate = 2.0;

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
  const double used = limit * kUsedPart;
  if (!joined_) {
    return kRateAlone;
  }
  if (used / most_hosts_ >= kLeastRate) {
    return used / most_hosts_;
  }
  const std::size_t sharers = std::clamp<std::size_t>(
      static_cast<std::size_t>(used / kSharersRate), 1, kMostSharers);
  return ring_.RankOf(self_, server.text(), sharers) < sharers
             ? used / static_cast<double>(sharers)
             : 0.0;
}

}  // namespace zinniastep
