#include "libzinniastep/gateway/gateway_core.h"
#include "libzinniastep/gateway/watch_pace.h"

#include <set>
#include <string>

#include <gtest/gtest.h>

#include "tests/support/gateway_fleet.h"
#include "tests/support/gateway_samples.h"

namespace zinniastep::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kHosts = 8;

// A fleet that serves version 1 with two backend servers.
class GatewayCoreTest : public ::testing::Test {
 protected:
  GatewayCoreTest() : fleet_(kHosts) {
    fleet_.Put(RecordKind::kConfiguration, "main", "1");
    fleet_.Put(RecordKind::kBackendServers, "a", "v1");
    fleet_.Put(RecordKind::kBackendServers, "b", "v1");
    fleet_.Run(seconds(6));
  }

  auto VersionOf(std::size_t host) -> std::uint64_t {
    const auto& policy = fleet_.View(host).policy;
    return policy == nullptr ? 0 : policy->version();
  }

  GatewayFleet fleet_;
};

TEST_F(GatewayCoreTest, EveryHostServesAndListsAllHosts) {
  for (std::size_t host = 0; host < kHosts; ++host) {
    EXPECT_EQ(VersionOf(host), 1U);
    EXPECT_EQ(fleet_.View(host).backends.size(), 2U);
    EXPECT_EQ(fleet_.View(host).fronts.size(), kHosts);
  }
}

TEST_F(GatewayCoreTest, AnIdleFleetMakesFewStoreCalls) {
  const std::size_t before = fleet_.store_calls();
  fleet_.Run(seconds(60));
  // The shortest waits, with one more watch pending for each kind.
  std::size_t watches = 0;
  for (const Duration time : {milliseconds(2500), milliseconds(2500),
                              milliseconds(5000), milliseconds(5000)}) {
    watches += static_cast<std::size_t>(seconds(60) /
                                        PaceForSelf(time).shortest_wait) +
               1;
  }
  EXPECT_LE(fleet_.store_calls() - before, kHosts * watches);
}

// The number of store calls must not grow with the fleet, except at the start.
TEST(LargeGatewayFleet, FewHostsReadTheStoreAndAllReceiveChanges) {
  constexpr std::size_t kManyHosts = 60;
  GatewayFleet fleet(kManyHosts);
  fleet.Put(RecordKind::kConfiguration, "main", "1");
  fleet.Run(seconds(20));
  const std::size_t before = fleet.store_calls();
  for (std::uint64_t version = 2; version <= 6; ++version) {
    fleet.Put(RecordKind::kConfiguration, "main", std::to_string(version));
    fleet.Run(milliseconds(2500));
    for (std::size_t host = 0; host < kManyHosts; ++host) {
      ASSERT_NE(fleet.View(host).policy, nullptr) << host;
      EXPECT_EQ(fleet.View(host).policy->version(), version) << host;
    }
  }
  EXPECT_LE(fleet.store_calls() - before, 200U);
}

TEST(LargeGatewayFleet, OtherHostsReadTheStoreWhenItRejectsTheReaders) {
  constexpr std::size_t kManyHosts = 40;
  GatewayFleet fleet(kManyHosts);
  fleet.Put(RecordKind::kConfiguration, "main", "1");
  fleet.Run(seconds(10));
  // The store rejects all hosts but one.
  for (std::size_t host = 1; host < kManyHosts; ++host) {
    fleet.SetStoreFault(host, GatewayFleet::StoreFault::kRefusing);
  }
  fleet.Run(seconds(14));
  fleet.Put(RecordKind::kConfiguration, "main", "2");
  fleet.Run(seconds(4));
  for (std::size_t host = 0; host < kManyHosts; ++host) {
    EXPECT_EQ(fleet.View(host).policy->version(), 2U) << host;
  }
}

TEST(LargeGatewayFleet, AllHostsWidenARolloutTogether) {
  constexpr std::size_t kManyHosts = 60;
  GatewayFleet fleet(kManyHosts);
  fleet.Put(RecordKind::kConfiguration, "main", "1");
  fleet.Put(RecordKind::kBackendServers, "a", "v1");
  fleet.Run(seconds(10));
  fleet.Put(RecordKind::kRollouts, "pool", "v2");
  fleet.Put(RecordKind::kBackendServers, "b", "v2");
  int differing = 0;
  for (int step = 0; step < 1900; ++step) {
    fleet.Run(milliseconds(10));
    std::set<double> shares;
    for (std::size_t host = 0; host < kManyHosts; ++host) {
      if (!fleet.View(host).splits.empty()) {
        const RolloutSplit& split = fleet.View(host).splits[0];
        shares.insert(fleet.now() >= split.next_from ? split.next_share
                                                     : split.target_share);
      }
    }
    differing += shares.size() > 1 ? 1 : 0;
    if (step % 25 == 0) {
      fleet.Feed(static_cast<std::size_t>(step) % kManyHosts,
                 fleet.core(static_cast<std::size_t>(step) % kManyHosts)
                     .OnEvidence(fleet.now(), {{{ServiceId("pool"), "v2", "r"},
                                                {2, 0, 0, 0.0}}}));
    }
  }
  EXPECT_EQ(fleet.View(0).splits.at(0).target_share, 1.0);
  // Three changes, each within three steps: the delivery time of a message.
  EXPECT_LE(differing, 3 * 3);
}

TEST_F(GatewayCoreTest, ARejectingStoreIsNotCalledInABusyLoop) {
  for (std::size_t host = 0; host < kHosts; ++host) {
    fleet_.SetStoreFault(host, GatewayFleet::StoreFault::kRefusing);
  }
  const std::size_t before = fleet_.store_calls();
  fleet_.Run(seconds(20));
  EXPECT_LE(fleet_.store_calls() - before, kHosts * 4 * 50);
  for (std::size_t host = 0; host < kHosts; ++host) {
    EXPECT_EQ(VersionOf(host), 1U) << "continues with its last records";
  }
}

TEST_F(GatewayCoreTest, HostsThatTheStoreRejectsGetRecordsFromPeers) {
  for (const auto fault : {GatewayFleet::StoreFault::kRefusing,
                           GatewayFleet::StoreFault::kSilent}) {
    fleet_.SetStoreFault(2, fault);
    fleet_.SetStoreFault(5, fault);
    fleet_.Run(seconds(1));
    const std::uint64_t next = VersionOf(0) + 1;
    fleet_.Put(RecordKind::kConfiguration, "main", std::to_string(next));
    fleet_.Run(milliseconds(2000));
    for (std::size_t host = 0; host < kHosts; ++host) {
      EXPECT_EQ(VersionOf(host), next) << host;
    }
    fleet_.SetStoreFault(2, GatewayFleet::StoreFault::kNone);
    fleet_.SetStoreFault(5, GatewayFleet::StoreFault::kNone);
    fleet_.Run(seconds(25));
  }
}

// The peer that sent the changes is gone before its full state can be
// requested, and no other peer reports a newer state.
TEST_F(GatewayCoreTest, ADeltaMismatchIsRepairedByAnyPeer) {
  fleet_.SetStoreFault(2, GatewayFleet::StoreFault::kSilent);
  fleet_.SetCut(2, true);
  fleet_.Put(RecordKind::kBackendServers, "c", "v1");
  fleet_.Run(milliseconds(200));
  fleet_.SetCut(2, false);
  RecordDelta wrong;
  wrong.kind = RecordKind::kBackendServers;
  wrong.as_of = fleet_.revision();
  wrong.removed = {"a"};
  fleet_.Feed(2, fleet_.core(2).OnPeerMessage(
                     fleet_.now(), {HostId("gone"), 1, "127.0.0.1:999"},
                     PeerMessage(GatewayMessage(wrong))));
  fleet_.Run(seconds(4));
  EXPECT_EQ(fleet_.View(2).backends.size(), 3U);
}

// Limits on a sum over all hosts are divided by the number of hosts. A host
// that is cut off considers the others lost, but they still run and use their
// shares.
TEST_F(GatewayCoreTest, AHostThatIsCutOffTakesNoLargerShare) {
  fleet_.SetCut(2, true);
  fleet_.Run(seconds(15));
  ASSERT_LT(fleet_.View(2).fronts.size(), kHosts);
  EXPECT_EQ(fleet_.View(2).sharing_hosts, kHosts);
}

TEST_F(GatewayCoreTest, AHostThatStartsDuringAnOutageGetsRecordsFromPeers) {
  for (std::size_t host = 0; host < kHosts; ++host) {
    fleet_.SetStoreFault(host, GatewayFleet::StoreFault::kSilent);
  }
  fleet_.Run(seconds(1));
  fleet_.Restart(3);
  fleet_.Run(seconds(4));
  EXPECT_EQ(VersionOf(3), 1U);
  EXPECT_EQ(fleet_.View(3).backends.size(), 2U);
}

TEST_F(GatewayCoreTest, AnOlderVersionNeverComesBack) {
  fleet_.Put(RecordKind::kConfiguration, "main", "9");
  fleet_.Run(seconds(1));
  fleet_.Put(RecordKind::kConfiguration, "main", "4");
  fleet_.Run(seconds(2));
  EXPECT_EQ(VersionOf(0), 9U);
}

TEST_F(GatewayCoreTest, AConfigurationThatCannotBeReadLeavesTheLastInForce) {
  fleet_.Put(RecordKind::kConfiguration, "main", "");
  fleet_.Run(seconds(2));
  EXPECT_EQ(VersionOf(0), 1U);
}

TEST_F(GatewayCoreTest, ALeavingServerIsOutEverywhereAtOnce) {
  fleet_.Put(RecordKind::kBackendServers, "a", "draining");
  fleet_.Run(milliseconds(200));
  for (std::size_t host = 0; host < kHosts; ++host) {
    ASSERT_EQ(fleet_.View(host).backends.size(), 1U);
    EXPECT_EQ(fleet_.View(host).backends[0].entry.id, BackendServerId("b"));
  }
}

TEST_F(GatewayCoreTest, ALapsedEntryIsKeptForTheGracePeriod) {
  fleet_.Remove(RecordKind::kBackendServers, "a");
  fleet_.Run(milliseconds(1500));
  EXPECT_EQ(fleet_.View(0).backends.size(), 2U);
  fleet_.Run(milliseconds(800));
  EXPECT_EQ(fleet_.View(0).backends.size(), 1U)
      << "well before the server must get no more requests";
}

TEST_F(GatewayCoreTest, ALostHostIsSoonRemovedFromTheFronts) {
  fleet_.Stop(4);
  fleet_.Run(seconds(5));
  for (std::size_t host = 0; host < kHosts; ++host) {
    if (host != 4) {
      EXPECT_EQ(fleet_.View(host).fronts.size(), kHosts - 1) << host;
    }
  }
}

TEST_F(GatewayCoreTest, AHostThatShutsDownIsRemovedFromTheFronts) {
  fleet_.Feed(4, fleet_.core(4).BeginShutdown(fleet_.now()));
  fleet_.Run(seconds(2));
  for (std::size_t host = 0; host < kHosts; ++host) {
    EXPECT_EQ(fleet_.View(host).fronts.size(), kHosts - 1) << host;
  }
}

TEST_F(GatewayCoreTest, ServersOfANewVersionWaitForTheOrderThatBringsThem) {
  fleet_.Put(RecordKind::kBackendServers, "c", "v2");
  fleet_.Run(milliseconds(500));
  EXPECT_EQ(fleet_.View(0).backends.size(), 2U);
  fleet_.Put(RecordKind::kRollouts, "pool", "v2");
  fleet_.Run(milliseconds(500));
  EXPECT_EQ(fleet_.View(0).backends.size(), 3U);
  ASSERT_EQ(fleet_.View(0).splits.size(), 1U);
  EXPECT_EQ(fleet_.View(0).splits[0].target_share, 0.0);
}

TEST_F(GatewayCoreTest, AFaultSeenOnSeveralHostsRevertsTheRollout) {
  fleet_.Put(RecordKind::kRollouts, "pool", "v2");
  fleet_.Put(RecordKind::kBackendServers, "c", "v2");
  fleet_.Run(seconds(12));
  EXPECT_GT(fleet_.View(0).splits.at(0).target_share, 0.0);
  // One failure on one host is not significant; four together are.
  for (std::size_t host = 0; host < 4; ++host) {
    const VersionKey old_key{ServiceId("pool"), "v1", "r"};
    const VersionKey new_key{ServiceId("pool"), "v2", "r"};
    fleet_.Feed(host, fleet_.core(host).OnEvidence(
                          fleet_.now(), {{old_key, {50, 0, 0, 0.0}},
                                         {new_key, {1, 1, 0, 0.0}}}));
  }
  fleet_.Run(seconds(2));
  for (std::size_t host = 0; host < kHosts; ++host) {
    EXPECT_EQ(fleet_.View(host).splits.at(0).target_share, 0.0) << host;
  }
  EXPECT_EQ(fleet_.states("pool").back(), RolloutState::kReverted);
}

TEST_F(GatewayCoreTest, AStatusIsWrittenWhenItsFirstWriterFails) {
  // Whichever host is first in rank, the hosts after it take over.
  for (std::size_t host = 0; host < kHosts; host += 2) {
    fleet_.SetStoreFault(host, GatewayFleet::StoreFault::kRefusing);
  }
  fleet_.Put(RecordKind::kRollouts, "pool", "v2");
  fleet_.Run(seconds(6));
  EXPECT_FALSE(fleet_.states("pool").empty());
}

TEST_F(GatewayCoreTest, NewsOfCrashesReachAllPeersOfASmallFleet) {
  CrashReport report;
  report.rows.push_back({1, 2, 3, 4000, 5000, {6, 7}, 0, 0});
  fleet_.Feed(0,
              fleet_.core(0).SpreadCrashReport(report, CrashReportKind::kNews));
  fleet_.Run(milliseconds(200));
  EXPECT_EQ(fleet_.crash_reports(0), 0U);
  for (std::size_t host = 1; host < kHosts; ++host) {
    EXPECT_EQ(fleet_.crash_reports(host), 1U);
  }
}

TEST_F(GatewayCoreTest, AnEvacuatedDomainIsEvacuatedOnEveryHost) {
  fleet_.SetStoreFault(6, GatewayFleet::StoreFault::kSilent);
  fleet_.Put(RecordKind::kEvacuations, "north", "");
  fleet_.Run(seconds(2));
  for (std::size_t host = 0; host < kHosts; ++host) {
    EXPECT_TRUE(fleet_.View(host).evacuated.contains(FailureDomainId("north")));
  }
  fleet_.Remove(RecordKind::kEvacuations, "north");
  fleet_.Run(milliseconds(500));
  EXPECT_TRUE(fleet_.View(0).evacuated.empty());
  for (const UsableBackend& backend : fleet_.View(0).backends) {
    EXPECT_GT(backend.cold_until, fleet_.now());
  }
}

}  // namespace
}  // namespace zinniastep::testing
