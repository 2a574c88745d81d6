#include <gtest/gtest.h>

#include "tests/fleet/fake_fleet.h"

namespace zinniastep {
namespace {

constexpr Duration kStartUp = seconds(20);

// Bounds from the settings: two passes over a small fleet's probes, then the
// suspicion.
constexpr Duration kLostWithin = seconds(25);

auto LiveCount(FakeFleet& fleet, const HostId& at) -> std::size_t {
  return fleet.hosts.at(at).membership->live_hosts().size();
}

auto AskEverywhere(FakeFleet& fleet, Duration length, Duration work) -> void {
  const int domains = fleet.shape().regions * fleet.shape().domains_per_region;
  for (Duration t{0}; t < length; t += milliseconds(100)) {
    int i = 0;
    for (auto& [id, host] : fleet.hosts) {
      if (host.up && !host.paused) {
        fleet.Ask(id, FakeFleet::Domain(i % domains),
                  {Workload(FakeFleet::Version(i % 2))}, work);
      }
      ++i;
    }
    fleet.Run(milliseconds(100));
  }
}

auto TotalServed(const FakeFleet& fleet) -> std::uint64_t {
  std::uint64_t served = 0;
  for (const auto& [id, server] : fleet.servers) {
    served += server.served;
  }
  return served;
}

TEST(FleetTest, HostsFindEachOtherThroughSeeds) {
  FakeFleet fleet(FleetShape{});
  fleet.Run(kStartUp);
  for (auto& [id, host] : fleet.hosts) {
    EXPECT_EQ(host.membership->live_hosts().size(), fleet.hosts.size())
        << id.text();
  }
}

TEST(FleetTest, LostHostIsNoticedByAllAndItsCellMoves) {
  FakeFleet fleet(FleetShape{});
  fleet.Run(kStartUp);
  const HostId holder = *fleet.hosts.at(HostId("h1-0"))
                             .assignment->StewardOf(FakeFleet::Domain(0), 0);
  fleet.Kill(holder);
  fleet.Run(kLostWithin);
  for (auto& [id, host] : fleet.hosts) {
    if (host.up) {
      EXPECT_EQ(host.membership->live_hosts().size(), fleet.hosts.size() - 1);
      EXPECT_NE(host.assignment->StewardOf(FakeFleet::Domain(0), 0), holder);
    }
  }
  EXPECT_EQ(fleet.Holders(FakeFleet::Domain(0), 0), 1);
}

TEST(FleetTest, PausedHostContradictsAndIsLiveAgain) {
  FakeFleet fleet(FleetShape{});
  fleet.Run(kStartUp);
  fleet.Pause(HostId("h2-1"));
  fleet.Run(kLostWithin);
  EXPECT_EQ(LiveCount(fleet, HostId("h0-0")), fleet.hosts.size() - 1);
  fleet.Wake(HostId("h2-1"));
  fleet.Run(seconds(10));
  for (auto& [id, host] : fleet.hosts) {
    EXPECT_EQ(host.membership->live_hosts().size(), fleet.hosts.size())
        << id.text();
  }
}

TEST(FleetTest, ReplacedProcessIsKnownByItsNewIncarnation) {
  FakeFleet fleet(FleetShape{});
  fleet.Run(kStartUp);
  fleet.Restart(HostId("h1-1"));
  fleet.Run(seconds(15));
  const HostIdentity& fresh = fleet.hosts.at(HostId("h1-1")).identity;
  for (auto& [id, host] : fleet.hosts) {
    const auto found = host.membership->FindIncarnation(fresh.incarnation);
    ASSERT_TRUE(found.has_value()) << id.text();
    EXPECT_EQ(found->host, fresh.host);
    EXPECT_EQ(host.membership->live_hosts().size(), fleet.hosts.size());
  }
}

TEST(FleetTest, RegionsThatLostEachOtherJoinAgain) {
  FleetShape shape;
  shape.regions = 2;
  shape.domains_per_region = 1;
  FakeFleet fleet(shape);
  fleet.Run(kStartUp);
  fleet.connected = [](const HostId& a, const HostId& b) {
    return a.text()[1] == b.text()[1];
  };
  fleet.Run(seconds(120));
  EXPECT_EQ(LiveCount(fleet, HostId("h0-0")), 3U);
  fleet.connected = nullptr;
  fleet.Run(seconds(20));
  EXPECT_EQ(LiveCount(fleet, HostId("h0-0")), 6U);
  EXPECT_EQ(LiveCount(fleet, HostId("h1-2")), 6U);
}

TEST(FleetTest, KeyShardsAreSpreadEvenly) {
  FakeFleet fleet(FleetShape{});
  fleet.Run(kStartUp);
  std::map<HostId, int> shards;
  for (std::uint32_t i = 0; i < kKeyShards; ++i) {
    const auto holder =
        fleet.hosts.at(HostId("h2-2")).assignment->KeyShardHolder(i);
    ASSERT_TRUE(holder.has_value());
    ++shards[holder->host];
  }
  EXPECT_EQ(shards.size(), fleet.hosts.size());
  for (const auto& [host, count] : shards) {
    EXPECT_LE(count, 9) << host.text();
  }
}

TEST(FleetTest, RestoredOlderStoreDoesNotBringBackAnOlderTable) {
  FakeFleet fleet(FleetShape{});
  fleet.Run(kStartUp);
  const auto old = fleet.store.Copy();
  const HostId holder = *fleet.hosts.at(HostId("h1-0"))
                             .assignment->StewardOf(FakeFleet::Domain(0), 0);
  fleet.Kill(holder);
  fleet.Run(kLostWithin);
  const AssignmentTable before =
      *fleet.hosts.at(HostId("h1-0")).assignment->TableOf(FakeFleet::Domain(0));
  fleet.store.Restore(old);
  fleet.Run(seconds(20));
  const AssignmentTable after =
      *fleet.hosts.at(HostId("h1-0")).assignment->TableOf(FakeFleet::Domain(0));
  EXPECT_GT(after.generation, before.generation);
  EXPECT_EQ(after.slots, before.slots);
  EXPECT_EQ(fleet.Holders(FakeFleet::Domain(0), 0), 1);
}

TEST(FleetTest, EachAskIsDecidedOnceAlthoughMessagesAreLostAndDoubled) {
  constexpr std::uint64_t kSeeds = 10;
  std::uint64_t served = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FleetShape shape;
    shape.seed = seed;
    FakeFleet fleet(shape);
    fleet.Run(kStartUp);
    fleet.lose_one_in = 5;
    fleet.double_one_in = 5;
    AskEverywhere(fleet, seconds(20), milliseconds(300));
    fleet.lose_one_in = 0;
    fleet.Run(seconds(60));
    std::uint64_t decisions = 0;
    for (auto& [id, host] : fleet.hosts) {
      decisions += host.decisions;
      EXPECT_EQ(host.credits->desk().open_asks(), 0U) << seed;
      EXPECT_EQ(host.credits->desk().open_returns(), 0U) << seed;
      EXPECT_EQ(host.credits->steward().open_credits(), 0U) << seed;
    }
    EXPECT_EQ(decisions, 9U * 200U) << seed;
    EXPECT_EQ(fleet.overloads, 0U) << seed;
    served += TotalServed(fleet);
  }
  // How many are served depends on which messages are lost.
  EXPECT_GT(served, kSeeds * 300U);
}

TEST(FleetTest, WarmServersAreFilledFurtherThanColdOnes) {
  FakeFleet fleet(FleetShape{});
  for (auto& [id, server] : fleet.servers) {
    server.warm = true;
  }
  fleet.Run(kStartUp);
  AskEverywhere(fleet, seconds(30), milliseconds(500));
  std::uint32_t most = 0;
  for (auto& [id, server] : fleet.servers) {
    most = std::max(most, server.most_running);
  }
  EXPECT_GT(most, 4U);
}

TEST(FleetTest, DomainTakenOutAndServerLeavingGetNothingNew) {
  FakeFleet fleet(FleetShape{});
  fleet.Run(kStartUp);
  AskEverywhere(fleet, seconds(3), milliseconds(200));
  fleet.configuration.domains.domains[0].state = FailureDomainState::kOut;
  fleet.configuration.rosters.at(FakeFleet::Domain(1)).servers[0].leaving =
      true;
  ++fleet.configuration.rosters.at(FakeFleet::Domain(1)).generation;
  const BackendServerId leaving =
      fleet.configuration.rosters.at(FakeFleet::Domain(1)).servers[0].id;
  // Credits given just before may still be used.
  AskEverywhere(fleet, seconds(2), milliseconds(200));
  std::map<BackendServerId, std::uint64_t> served;
  for (auto& [id, server] : fleet.servers) {
    served[id] = server.served;
  }
  AskEverywhere(fleet, seconds(5), milliseconds(200));
  for (const BackendServerRule& rule :
       fleet.configuration.rosters.at(FakeFleet::Domain(0)).servers) {
    EXPECT_EQ(fleet.servers.at(rule.id).served, served.at(rule.id));
  }
  EXPECT_EQ(fleet.servers.at(leaving).served, served.at(leaving));
  EXPECT_GT(fleet.servers.at(BackendServerId("s4")).served,
            served.at(BackendServerId("s4")));
}

TEST(FleetTest, WithdrawnVersionGetsNothing) {
  FakeFleet fleet(FleetShape{});
  fleet.Run(kStartUp);
  fleet.configuration.documents.at(TeamId("t")).versions[0].state =
      VersionState::kWithdrawn;
  fleet.Ask(HostId("h0-0"), FakeFleet::Domain(0),
            {Workload(FakeFleet::Version(0))}, milliseconds(100));
  fleet.Run(seconds(4));
  EXPECT_EQ(fleet.hosts.at(HostId("h0-0")).granted, 0U);
  EXPECT_EQ(fleet.hosts.at(HostId("h0-0")).refused, 1U);
}

TEST(FleetTest, GracefulHandOverNeedsNoWaitOut) {
  FakeFleet fleet(FleetShape{});
  fleet.Run(kStartUp);
  const HostId holder = *fleet.hosts.at(HostId("h1-0"))
                             .assignment->StewardOf(FakeFleet::Domain(0), 0);
  fleet.Leave(holder);
  fleet.Run(seconds(10));
  const HostId asker("h1-0");
  fleet.Ask(asker, FakeFleet::Domain(0), {Workload(FakeFleet::Version(0))},
            milliseconds(100));
  fleet.Run(seconds(1));
  EXPECT_EQ(fleet.hosts.at(asker).granted, 1U);
}

TEST(FleetTest, MissingVersionsAreOrderedOnceUnderTheCellsEpoch) {
  FakeFleet fleet(FleetShape{});
  fleet.servers.at(BackendServerId("s0")).versions.clear();
  fleet.Run(seconds(60));
  const FakeServer& server = fleet.servers.at(BackendServerId("s0"));
  ASSERT_EQ(server.orders.size(), 2U);
  const auto* table =
      fleet.hosts.at(HostId("h0-0")).assignment->TableOf(FakeFleet::Domain(0));
  for (const SendOrder& order : server.orders) {
    EXPECT_EQ(order.fence, table->slots[0].holder.epoch);
  }
}

TEST(FleetTest, PoolsOfAllDomainsAreKnownEverywhere) {
  FakeFleet fleet(FleetShape{});
  fleet.Run(seconds(60));
  for (auto& [id, host] : fleet.hosts) {
    EXPECT_EQ(host.credits->pools().size(), 6U) << id.text();
    for (const PoolSummary& pool : host.credits->pools()) {
      EXPECT_LT(pool.age, seconds(40));
      EXPECT_EQ(pool.cold_servers, 2U);
    }
  }
}

}  // namespace
}  // namespace zinniastep
