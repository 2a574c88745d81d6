#include <cstddef>
#include <string>

#include <gtest/gtest.h>

#include "libzinniastep/gateway/gateway_core.h"
#include "tests/support/gateway_fleet.h"

namespace zinniastep::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Times of the fleet's settings after which a change has to be in effect.
constexpr Duration kConfigurationTime = milliseconds(2500);
constexpr Duration kEvacuationTime = seconds(5);
constexpr Duration kRollbackTime = seconds(5);
constexpr Duration kCompaction = seconds(1);
// In fleets up to this size each host reads the store.
constexpr std::size_t kSmallFleet = 16;
// When a compaction begins after the last change: the watches that wait then
// have waited for different times.
constexpr int kPhases = 13;
constexpr Duration kPhase = milliseconds(490);

// A fleet that serves version 1.
class LostChangeTest : public ::testing::TestWithParam<std::size_t> {
 protected:
  explicit LostChangeTest(std::size_t regions = 2)
      : fleet_({.hosts = GetParam(), .domains = regions}) {
    fleet_.Put(RecordKind::kConfiguration, "main", "1");
    fleet_.Put(RecordKind::kBackendServers, "a", "v1");
    fleet_.Run(seconds(8));
  }

  auto HostsBehind(std::uint64_t version) const -> std::size_t {
    std::size_t behind = 0;
    for (std::size_t host = 0; host < GetParam(); ++host) {
      behind += fleet_.View(host).policy->version() < version ? 1 : 0;
    }
    return behind;
  }

  GatewayFleet fleet_;
};

// All hosts are in one region.
class SmallLostChangeTest : public LostChangeTest {
 protected:
  SmallLostChangeTest() : LostChangeTest(1) {}
};

TEST_P(LostChangeTest, AConfigurationThatACompactionHidesIsInForceInTime) {
  std::uint64_t version = 1;
  for (int phase = 0; phase < kPhases; ++phase) {
    fleet_.Put(RecordKind::kConfiguration, "main", std::to_string(++version));
    fleet_.Run(seconds(3) + phase * kPhase);
    ASSERT_EQ(HostsBehind(version), 0U);
    fleet_.BeginCompaction();
    fleet_.Run(kCompaction / 2);
    fleet_.Put(RecordKind::kConfiguration, "main", std::to_string(++version));
    fleet_.Run(kCompaction / 2);
    fleet_.EndCompaction();
    fleet_.Run(kConfigurationTime - kCompaction / 2);
    EXPECT_EQ(HostsBehind(version), 0U) << "phase " << phase;
  }
}

TEST_P(LostChangeTest, AnEvacuationThatACompactionHidesIsInForceInTime) {
  for (int phase = 0; phase < kPhases; ++phase) {
    const std::string domain = "d" + std::to_string(phase);
    fleet_.Put(RecordKind::kEvacuations, "other" + domain, "");
    fleet_.Run(seconds(3) + phase * kPhase);
    fleet_.BeginCompaction();
    fleet_.Run(kCompaction / 2);
    fleet_.Put(RecordKind::kEvacuations, domain, "");
    fleet_.Run(kCompaction / 2);
    fleet_.EndCompaction();
    fleet_.Run(kEvacuationTime - kCompaction / 2);
    for (std::size_t host = 0; host < GetParam(); ++host) {
      EXPECT_TRUE(fleet_.View(host).evacuated.contains(FailureDomainId(domain)))
          << "phase " << phase << ", host " << host;
    }
  }
}

TEST_P(LostChangeTest, AServerWhoseLeavingACompactionHidesIsLeftInTime) {
  for (int phase = 0; phase < kPhases; ++phase) {
    const std::string server = "s" + std::to_string(phase);
    fleet_.Put(RecordKind::kBackendServers, server, "v1");
    fleet_.Run(seconds(3) + phase * kPhase);
    fleet_.BeginCompaction();
    fleet_.Run(kCompaction / 2);
    fleet_.Put(RecordKind::kBackendServers, server, "draining");
    fleet_.Run(kCompaction / 2);
    fleet_.EndCompaction();
    fleet_.Run(kConfigurationTime - kCompaction / 2);
    for (std::size_t host = 0; host < GetParam(); ++host) {
      for (const UsableBackend& backend : fleet_.View(host).backends) {
        EXPECT_NE(backend.entry.id, BackendServerId(server))
            << "phase " << phase << ", host " << host;
      }
    }
  }
}

// The store's answers stop on the connections that are open, and come on new
// ones.
TEST_P(LostChangeTest, AConfigurationWhoseWatchesAreNeverAnsweredIsInForce) {
  std::uint64_t version = 1;
  for (int phase = 0; phase < kPhases; ++phase) {
    fleet_.Put(RecordKind::kConfiguration, "main", std::to_string(++version));
    fleet_.Run(seconds(3) + phase * kPhase);
    fleet_.SilenceWatches();
    fleet_.Put(RecordKind::kConfiguration, "main", std::to_string(++version));
    fleet_.Run(kConfigurationTime);
    EXPECT_EQ(HostsBehind(version), 0U) << "phase " << phase;
  }
}

TEST_P(LostChangeTest, ARolloutThatACompactionHidesIsKnownInTime) {
  for (int phase = 0; phase < kPhases; ++phase) {
    const std::string target = "v" + std::to_string(phase + 2);
    fleet_.Put(RecordKind::kRollouts, "pool", "v1");
    fleet_.Run(seconds(3) + phase * kPhase);
    fleet_.BeginCompaction();
    fleet_.Run(kCompaction / 2);
    fleet_.Put(RecordKind::kRollouts, "pool", target);
    fleet_.Run(kCompaction / 2);
    fleet_.EndCompaction();
    fleet_.Run(kRollbackTime - kCompaction / 2);
    for (std::size_t host = 0; host < GetParam(); ++host) {
      ASSERT_EQ(fleet_.View(host).splits.size(), 1U) << "phase " << phase;
      EXPECT_EQ(fleet_.View(host).splits[0].target_version, target)
          << "phase " << phase << ", host " << host;
    }
  }
}

// The store turns half of the hosts away, the first readers among them.
TEST_P(SmallLostChangeTest, HostsThatTheStoreServesDoNotWaitForTheOthers) {
  std::uint64_t version = 1;
  const std::size_t hosts = GetParam();
  for (std::size_t first = 0; first < hosts; ++first) {
    for (int phase = 0; phase < kPhases; phase += 3) {
      fleet_.Put(RecordKind::kConfiguration, "main", std::to_string(++version));
      fleet_.Run(seconds(3) + phase * kPhase);
      for (std::size_t host = 0; host < hosts; ++host) {
        const bool is_refused = (host + hosts - first) % hosts < hosts / 2;
        fleet_.SetStoreFault(host, is_refused
                                       ? GatewayFleet::StoreFault::kRefusing
                                       : GatewayFleet::StoreFault::kNone);
      }
      fleet_.BeginCompaction();
      fleet_.Run(kCompaction / 2);
      fleet_.Put(RecordKind::kConfiguration, "main", std::to_string(++version));
      fleet_.Run(kCompaction / 2);
      fleet_.EndCompaction();
      fleet_.Run(kConfigurationTime - kCompaction / 2);
      EXPECT_EQ(HostsBehind(version), 0U)
          << "from host " << first << ", phase " << phase;
    }
  }
}

// Fleets in which each host reads the store, and one in which few do.
INSTANTIATE_TEST_SUITE_P(Fleets,
                         LostChangeTest,
                         ::testing::Values(std::size_t{1},
                                           std::size_t{2},
                                           std::size_t{8},
                                           kSmallFleet,
                                           std::size_t{40}));

// In larger fleets other hosts take over from readers that are turned away.
INSTANTIATE_TEST_SUITE_P(Fleets,
                         SmallLostChangeTest,
                         ::testing::Values(std::size_t{2},
                                           std::size_t{8},
                                           kSmallFleet));

}  // namespace
}  // namespace zinniastep::testing
