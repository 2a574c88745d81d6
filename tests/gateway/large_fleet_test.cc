#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "libzinniastep/gateway/gateway_core.h"
#include "tests/support/gateway_fleet.h"

namespace zinniastep::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kHosts = 295;
constexpr std::size_t kDomains = 6;
constexpr std::size_t kServers = 168;
// Bytes per second from megabits: a small host's link, and a fifth of the link
// between regions, which callers' requests and answers share.
constexpr double kHostLink = 20e6 / 8;
constexpr double kRegionLink = 150e6 / 8 / 5;
// With one datagram in fifty lost, a host or two may briefly be considered
// lost.
constexpr std::size_t kMinListedHosts = kHosts - 2;
// A configuration is in force everywhere after this time.
constexpr Duration kInForce = milliseconds(4000);

// The content of a backend server's entry is as long as a real one's.
auto ServerContent(const std::string& version) -> std::string {
  return version + std::string(300, ' ');
}

// A fleet of hundreds of hosts in six failure domains that serves version 1.
class LargeFleetTest : public ::testing::Test {
 protected:
  LargeFleetTest()
      : fleet_({.hosts = kHosts,
                .domains = kDomains,
                .host_link = kHostLink,
                .region_link = kRegionLink,
                .lose_one_in = 50}) {
    fleet_.Put(RecordKind::kConfiguration, "main", "1");
    for (std::size_t server = 0; server < kServers; ++server) {
      fleet_.Put(RecordKind::kBackendServers, "s" + std::to_string(server),
                 ServerContent("v1"));
    }
    fleet_.Run(seconds(8));
  }

  // Returns the number of hosts that have an older version in force.
  auto HostsBehind(std::uint64_t version) -> std::size_t {
    std::size_t behind = 0;
    for (std::size_t host = 0; host < kHosts; ++host) {
      const auto& policy = fleet_.View(host).policy;
      behind += policy == nullptr || policy->version() < version ? 1 : 0;
    }
    return behind;
  }

  // Advances the time; a backend server's entry changes each tenth of a second.
  auto RunWithChanges(Duration time) -> void {
    for (Duration passed{0}; passed < time; passed += milliseconds(100)) {
      fleet_.Put(RecordKind::kBackendServers,
                 "s" + std::to_string(++change_ % kServers),
                 ServerContent("v1"));
      fleet_.Run(milliseconds(100));
    }
  }

  GatewayFleet fleet_;
  std::size_t change_ = 0;
};

TEST_F(LargeFleetTest, HostsThatStartAtOneMomentMeetAndCallTheStoreLittle) {
  for (std::size_t host = 0; host < kHosts; ++host) {
    ASSERT_GE(fleet_.View(host).fronts.size(), kMinListedHosts) << host;
  }
  // Each host lists each kind once, and the readers make watches as well.
  EXPECT_LE(fleet_.store_calls(), kHosts * 5);
}

TEST_F(LargeFleetTest, AChangeOfOneServerCostsLittleOfTheLinkBetweenRegions) {
  const double before = fleet_.region_bytes();
  constexpr int kSeconds = 10;
  RunWithChanges(seconds(kSeconds));
  // The fleet's share of the link; ten changes a second are thousands of times
  // the rate of changes by operators and servers in a day.
  EXPECT_LE(fleet_.region_bytes() - before, kRegionLink * kSeconds);
}

TEST_F(LargeFleetTest, AThirdOfTheHostsThatTheStoreRejectsKeepsUp) {
  for (std::size_t host = 0; host < kHosts; host += 3) {
    fleet_.SetStoreFault(host, GatewayFleet::StoreFault::kRefusing);
  }
  for (std::uint64_t version = 2; version <= 4; ++version) {
    fleet_.Put(RecordKind::kConfiguration, "main", std::to_string(version));
    RunWithChanges(kInForce);
    EXPECT_EQ(HostsBehind(version), 0U) << version;
  }
}

// The store may reject the very hosts that read for all.
TEST_F(LargeFleetTest, OtherHostsReadWhenTheStoreRejectsAllReaders) {
  std::vector<std::size_t> before;
  for (std::size_t host = 0; host < kHosts; ++host) {
    before.push_back(fleet_.store_calls_of(host));
  }
  RunWithChanges(seconds(3));
  std::set<std::size_t> readers;
  for (std::size_t host = 0; host < kHosts; ++host) {
    if (fleet_.store_calls_of(host) > before[host]) {
      readers.insert(host);
    }
  }
  ASSERT_FALSE(readers.empty());
  ASSERT_LT(readers.size(), 12U);
  for (const std::size_t host : readers) {
    fleet_.SetStoreFault(host, GatewayFleet::StoreFault::kRefusing);
  }
  RunWithChanges(seconds(2));
  fleet_.Put(RecordKind::kConfiguration, "main", "2");
  RunWithChanges(kInForce);
  EXPECT_EQ(HostsBehind(2), 0U);
}

TEST_F(LargeFleetTest,
       DomainsThatCannotReachEachOtherReceiveChangesThroughAThird) {
  fleet_.SetBridgeCut(0, 1, true);
  RunWithChanges(seconds(2));
  fleet_.Put(RecordKind::kConfiguration, "main", "2");
  RunWithChanges(kInForce);
  EXPECT_EQ(HostsBehind(2), 0U);
  for (std::size_t host = 0; host < kHosts; ++host) {
    EXPECT_GE(fleet_.View(host).fronts.size(), kMinListedHosts)
        << host << ": the fronts lack a live host";
  }
}

TEST_F(LargeFleetTest, FrozenHostsCatchUpWhenTheyResume) {
  for (std::size_t host = 0; host < kHosts; host += 10) {
    fleet_.SetFrozen(host, true);
  }
  RunWithChanges(seconds(4));
  fleet_.Put(RecordKind::kConfiguration, "main", "2");
  RunWithChanges(seconds(3));
  for (std::size_t host = 0; host < kHosts; host += 10) {
    fleet_.SetFrozen(host, false);
  }
  RunWithChanges(seconds(3));
  EXPECT_EQ(HostsBehind(2), 0U);
}

// A host that was cut off must not use a server that left in the meantime.
TEST_F(LargeFleetTest, ADomainThatWasCutOffDropsServersThatLeft) {
  for (std::size_t host = 1; host < kHosts; host += kDomains) {
    fleet_.SetCut(host, true);
    fleet_.SetStoreFault(host, GatewayFleet::StoreFault::kSilent);
  }
  RunWithChanges(seconds(5));
  fleet_.Put(RecordKind::kBackendServers, "s3", "draining");
  for (std::size_t host = 1; host < kHosts; host += kDomains) {
    fleet_.SetCut(host, false);
    fleet_.SetStoreFault(host, GatewayFleet::StoreFault::kNone);
  }
  // The time within which a host that was cut off must have caught up.
  RunWithChanges(seconds(3));
  for (std::size_t host = 0; host < kHosts; ++host) {
    for (const UsableBackend& backend : fleet_.View(host).backends) {
      EXPECT_NE(backend.entry.id, BackendServerId("s3")) << host;
    }
  }
}

// Hosts that are replaced one after the other get their records from peers.
TEST_F(LargeFleetTest, HostsThatRestartInTurnDoNotAskTheStore) {
  constexpr std::size_t kRestarts = 60;
  const std::size_t before = fleet_.store_calls();
  for (std::size_t host = 100; host < 100 + kRestarts; host += 15) {
    for (std::size_t one = host; one < host + 15; ++one) {
      fleet_.Restart(one);
    }
    fleet_.Run(seconds(1));
  }
  EXPECT_EQ(HostsBehind(1), 0U);
  // Half of the lists that the restarted hosts would make, including the
  // watches of the readers.
  EXPECT_LE(fleet_.store_calls() - before, kRestarts * kRecordKinds / 2);
}

TEST_F(LargeFleetTest, HostsThatRestartTogetherServeSoon) {
  for (std::size_t host = 0; host < kHosts; ++host) {
    fleet_.Restart(host);
  }
  fleet_.Run(seconds(2));
  EXPECT_EQ(HostsBehind(1), 0U);
}

}  // namespace
}  // namespace zinniastep::testing
