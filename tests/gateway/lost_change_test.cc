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
constexpr Duration kCompaction = seconds(1);
// When a compaction begins after the last change: the watches that wait then
// have waited for different times.
constexpr int kPhases = 13;
constexpr Duration kPhase = milliseconds(490);

// A fleet of hosts in two regions that serves version 1.
class LostChangeTest : public ::testing::TestWithParam<std::size_t> {
 protected:
  LostChangeTest() : fleet_({.hosts = GetParam(), .domains = 2}) {
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
    fleet_.Run(kConfigurationTime);
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
    fleet_.Run(kEvacuationTime);
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
    fleet_.Run(kConfigurationTime);
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
    fleet_.Run(milliseconds(500));
    fleet_.Put(RecordKind::kConfiguration, "main", std::to_string(++version));
    fleet_.Run(kConfigurationTime);
    EXPECT_EQ(HostsBehind(version), 0U) << "phase " << phase;
  }
}

// A host below the size at which few hosts read for all, and one above it.
INSTANTIATE_TEST_SUITE_P(Fleets,
                         LostChangeTest,
                         ::testing::Values(std::size_t{1},
                                           std::size_t{8},
                                           std::size_t{40}));

}  // namespace
}  // namespace zinniastep::testing
