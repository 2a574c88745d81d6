#include <cstdint>
#include <cstdlib>

#include <gtest/gtest.h>

#include "tests/support/crash_fleet.h"

namespace zinniastep::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMaxLate = 3;
// A sound request in this many may be refused while servers crash.
constexpr std::size_t kSoundShare = 50;

struct FleetSize {
  std::size_t hosts = 0;
  std::size_t servers = 0;
  double requests_per_second = 0.0;
};

constexpr FleetSize kSmall{8, 9, 33.0};
constexpr FleetSize kGrown{86, 60, 300.0};
constexpr FleetSize kLarge{295, 168, 900.0};

auto Scenario(const FleetSize& size) -> CrashScenario {
  CrashScenario scenario;
  scenario.hosts = size.hosts;
  scenario.servers = size.servers;
  scenario.requests_per_second = size.requests_per_second;
  return scenario;
}

// Plays seeds from the first one on, and checks the bounds in each. The
// environment's CRASH_SEEDS is the number for a longer run by hand.
auto ExpectBounds(const CrashScenario& scenario,
                  std::uint64_t first,
                  std::uint64_t seeds) -> void {
  if (const char* more = std::getenv("CRASH_SEEDS"); more != nullptr) {
    seeds = std::strtoull(more, nullptr, 10);
  }
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    const CrashResult result = CrashFleet(scenario, seed).Run();
    for (const CrashingPartResult& part : result.parts) {
      EXPECT_LE(part.late, kMaxLate)
          << "seed " << seed << ", endings " << part.endings;
    }
    EXPECT_LE(result.sound_refused * kSoundShare, result.sound)
        << "seed " << seed;
    if (scenario.parts.empty()) {
      EXPECT_EQ(result.sound_refused, 0U) << "seed " << seed;
    }
  }
}

auto PartOf(double share, std::size_t kind = 0) -> CrashingPart {
  return {Instant(seconds(4)), Instant(seconds(26)), share, kind};
}

TEST(PartQuarantineFleet, APartIsHeldInASmallFleet) {
  for (const double share : {0.02, 0.05, 0.1, 0.4}) {
    CrashScenario scenario = Scenario(kSmall);
    scenario.parts = {PartOf(share)};
    SCOPED_TRACE(share);
    ExpectBounds(scenario, 1, 10);
  }
}

TEST(PartQuarantineFleet, APartIsHeldInALargeFleet) {
  for (const double share : {0.01, 0.3}) {
    CrashScenario scenario = Scenario(kLarge);
    scenario.parts = {PartOf(share)};
    SCOPED_TRACE(share);
    ExpectBounds(scenario, 101, 1);
  }
}

TEST(PartQuarantineFleet, SeveralPartsAreHeldEach) {
  CrashScenario scenario = Scenario(kSmall);
  scenario.parts = {PartOf(0.1, 0), PartOf(0.1, 1), PartOf(0.1, 2)};
  scenario.parts[1].from = Instant(seconds(7));
  ExpectBounds(scenario, 201, 10);
  scenario = Scenario(kGrown);
  scenario.parts = {PartOf(0.05, 0), PartOf(0.2, 1)};
  ExpectBounds(scenario, 251, 1);
}

TEST(PartQuarantineFleet, LostAndLateMessagesAreMadeUpFor) {
  for (const FleetSize& size : {kSmall, kGrown}) {
    CrashScenario scenario = Scenario(size);
    scenario.parts = {PartOf(0.1)};
    scenario.loss = 0.2;
    scenario.longest_delay = milliseconds(200);
    ExpectBounds(scenario, 301, size.hosts == kSmall.hosts ? 10 : 1);
  }
}

TEST(PartQuarantineFleet, HostsThatRestartOrWereCutOffHoldThePart) {
  for (const FleetSize& size : {kSmall, kGrown}) {
    CrashScenario scenario = Scenario(size);
    scenario.parts = {PartOf(0.1)};
    scenario.host_restart_period = milliseconds(1500);
    scenario.cut_from = Instant(seconds(5));
    scenario.cut_until = Instant(seconds(12));
    ExpectBounds(scenario, 401, size.hosts == kSmall.hosts ? 10 : 1);
  }
}

TEST(PartQuarantineFleet, ServersThatEndForOtherReasonsHoldNothingBack) {
  for (const FleetSize& size : {kSmall, kGrown}) {
    CrashScenario scenario = Scenario(size);
    scenario.domain_losses = {Instant(seconds(5)), Instant(seconds(6)),
                              Instant(seconds(12)), Instant(seconds(20))};
    scenario.server_crash_period = milliseconds(2500);
    ExpectBounds(scenario, 501, size.hosts == kSmall.hosts ? 20 : 1);
  }
}

TEST(PartQuarantineFleet, APartIsHeldBesideOtherEndings) {
  CrashScenario scenario = Scenario(kSmall);
  scenario.parts = {PartOf(0.1)};
  scenario.domain_losses = {Instant(seconds(8)), Instant(seconds(15))};
  scenario.server_crash_period = milliseconds(4000);
  ExpectBounds(scenario, 601, 10);
}

}  // namespace
}  // namespace zinniastep::testing
