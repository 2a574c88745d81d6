#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

#include <gtest/gtest.h>

#include "tests/support/configuration_text.h"
#include "tests/support/gateway_fleet.h"

namespace zinniastep::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kHosts = 67;
constexpr std::size_t kDomains = 6;
// Bytes per second: a small host's link, and the link between regions.
constexpr double kHostLink = 10e6 / 8;
constexpr double kRegionLink = 60e6 / 8;
constexpr std::uint64_t kLoseOneIn = 40;
// The longest object that the store takes, in bytes.
constexpr std::size_t kLongestObject = std::size_t{1} << 20U;
constexpr std::size_t kRoutesPerChange = 1200;
constexpr std::uint64_t kChanges = 4;
// A change has to be in effect after this time.
constexpr Duration kInForce = milliseconds(4000);

// A fleet on links of 10 Mbit/s that serves version 1.
class LargeConfigurationTest : public ::testing::Test {
 protected:
  LargeConfigurationTest()
      : fleet_({.hosts = kHosts,
                .domains = kDomains,
                .host_link = kHostLink,
                .region_link = kRegionLink,
                .lose_one_in = kLoseOneIn}) {
    Put(1);
    fleet_.Run(seconds(8));
  }

  auto Put(std::uint64_t version) -> void {
    fleet_.Put(RecordKind::kConfiguration, "main", text_.Version(version));
  }

  // Returns the number of hosts that have an older version in force.
  [[nodiscard]] auto HostsBehind(std::uint64_t version) const -> std::size_t {
    std::size_t behind = 0;
    for (std::size_t host = 0; host < kHosts; ++host) {
      const auto& policy = fleet_.View(host).policy;
      behind += policy == nullptr || policy->version() < version ? 1 : 0;
    }
    return behind;
  }

  // Returns the number of hosts of which another host thinks that they are
  // lost.
  [[nodiscard]] auto HostsHeldForLost() const -> std::size_t {
    std::size_t lost = 0;
    for (std::size_t host = 0; host < kHosts; ++host) {
      lost = std::max(lost, kHosts - fleet_.View(host).fronts.size());
    }
    return lost;
  }

  ConfigurationText text_{1};
  GatewayFleet fleet_;
};

TEST_F(LargeConfigurationTest, EachChangeOfAGrowingOneIsInForceInTime) {
  for (std::uint64_t version = 2; version < 2 + kChanges; ++version) {
    text_.AddRoutes(kRoutesPerChange);
    ASSERT_LE(text_.Version(version).size(), kLongestObject);
    Put(version);
    fleet_.Run(kInForce);
    EXPECT_EQ(HostsBehind(version), 0U) << "version " << version;
    EXPECT_LE(HostsHeldForLost(), 2U) << "version " << version;
    fleet_.Run(seconds(1));
  }
}

// Without a bound on repeated transfers the fleet keeps sending after the last
// change.
TEST_F(LargeConfigurationTest, EachHostIsSentANewVersionAboutOnce) {
  text_.AddRoutes(kRoutesPerChange * kChanges);
  const double before = fleet_.peer_bytes();
  Put(2);
  fleet_.Run(seconds(20));
  EXPECT_EQ(HostsBehind(2), 0U);
  EXPECT_LE(fleet_.peer_bytes() - before,
            1.5 * static_cast<double>(kHosts * text_.Version(2).size()));
}

TEST_F(LargeConfigurationTest, HostsThatStartTogetherServeInTime) {
  text_.AddRoutes(kRoutesPerChange * kChanges);
  Put(2);
  fleet_.Run(seconds(20));
  for (std::size_t host = 0; host < kHosts; host += 2) {
    fleet_.Restart(host);
  }
  fleet_.Run(kInForce);
  EXPECT_EQ(HostsBehind(2), 0U);
}

}  // namespace
}  // namespace zinniastep::testing
