#include "libzinniastep/gateway/cold_shares.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace zinniastep::testing {
namespace {

constexpr double kLimit = 6.0;
// What operators allow above a server's limit (the sites' ColdOverage).
constexpr double kOverage = 1.5;

auto Hosts(std::size_t first, std::size_t count) -> std::vector<HostIdentity> {
  std::vector<HostIdentity> hosts;
  for (std::size_t i = first; i < first + count; ++i) {
    HostIdentity host;
    host.host = HostId("h" + std::to_string(i));
    hosts.push_back(host);
  }
  return hosts;
}

// Returns the total rate at which the hosts of one view may send to a server.
auto SumOver(const std::vector<HostIdentity>& seen,
             std::size_t most_hosts,
             const BackendServerId& server) -> double {
  const HostRing ring(seen);
  double sum = 0.0;
  for (const HostIdentity& host : seen) {
    sum +=
        ColdShares(host.host, ring, most_hosts, true).RateFor(server, kLimit);
  }
  return sum;
}

TEST(ColdShares, TheSumOverAllHostsStaysBelowTheLimitAtEachSize) {
  for (const std::size_t count : {1U, 7U, 8U, 86U, 295U, 2000U}) {
    for (int server = 0; server < 20; ++server) {
      const double sum = SumOver(Hosts(0, count), count,
                                 BackendServerId("s" + std::to_string(server)));
      EXPECT_LE(sum, kLimit) << count;
      EXPECT_GT(sum, 0.0) << count;
    }
  }
}

// Two groups of hosts that cannot reach each other, one of them as small as one
// host. Both remember the highest number of hosts.
TEST(ColdShares, PartitionedGroupsStayBelowTheOverage) {
  for (const std::size_t count : {8U, 86U, 295U, 2000U}) {
    for (const std::size_t part : {std::size_t{1}, count / 3, count / 2}) {
      const BackendServerId server("s");
      const double sum = SumOver(Hosts(0, part), count, server) +
                         SumOver(Hosts(part, count - part), count, server);
      EXPECT_LE(sum, kLimit * kOverage) << count << " " << part;
    }
  }
}

TEST(ColdShares, AHostThatHasNotJoinedGetsALowRate) {
  const HostRing ring(Hosts(0, 1));
  EXPECT_LT(ColdShares(HostId("h0"), ring, 1, false)
                .RateFor(BackendServerId("s"), kLimit),
            1.0);
}

}  // namespace
}  // namespace zinniastep::testing
