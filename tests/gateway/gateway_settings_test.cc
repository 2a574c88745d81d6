#include <cstddef>
#include <string>

#include <gtest/gtest.h>

#include "libzinniastep/gateway/gateway_settings.h"

namespace zinniastep::testing {
namespace {

constexpr char kSettings[] = R"({
  "host": "host-a", "failure_domain": "perth-a", "region": "perth",
  "regions": {"perth-a": "perth", "bunbury-a": "bunbury"},
  "caller_address": "10.1.0.40:8227", "ready_address": "10.1.0.40:8220",
  "directory_address": "10.1.0.40:8224", "metrics_address": "10.1.0.40:7341",
  "peer_address": "10.1.0.40:7340",
  "seeds": ["10.1.0.40:8229", "10.2.0.29:8229"],
  "store_address": "10.200.1.7:8223", "signing_keys": ["key"],
  "shutdown_s": 7.5, "leaving_ms": 2500, "address_lifetime_s": 5,
  "repeat_share": 0.9, "repeat_slack": 56, "most_descriptors": 4100
})";

// The platform lists seeds with the address of another interface. Messages sent
// to that address reach no host, so that hosts which read the host list too
// early would find no peers.
TEST(GatewaySettingsTest, SeedsGetThePeerPort) {
  const auto parsed = ReadGatewaySettings(kSettings);
  ASSERT_TRUE(parsed.value.has_value());
  ASSERT_EQ(parsed.value->seeds.size(), 2U);
  EXPECT_EQ(parsed.value->seeds[0], "10.1.0.40:7340");
  EXPECT_EQ(parsed.value->seeds[1], "10.2.0.29:7340");
}

// A host must start even if the platform's settings contain no limits.
TEST(GatewaySettingsTest, LimitsMayBeFractionsOrMissing) {
  const auto parsed = ReadGatewaySettings(kSettings);
  ASSERT_TRUE(parsed.value.has_value());
  EXPECT_EQ(parsed.value->shutdown_time, std::chrono::milliseconds(7500));
  EXPECT_EQ(parsed.value->repeat_window, std::chrono::seconds(10));
}

// Without them, changes that the store's watches lose would be found by the
// pace of another deployment.
TEST(GatewaySettingsTest, TheTimesOfChangesAreReadOrTheShortestOnes) {
  const auto parsed = ReadGatewaySettings(kSettings);
  ASSERT_TRUE(parsed.value.has_value());
  EXPECT_EQ(parsed.value->configuration_time, std::chrono::milliseconds(2500));
  EXPECT_EQ(parsed.value->rollback_time, std::chrono::seconds(5));
  EXPECT_EQ(parsed.value->evacuation_time, std::chrono::seconds(5));
  const auto stated = ReadGatewaySettings(
      std::string(R"({"configuration_ms": 4000, "rollback_ms": 6000,)") +
      R"("evacuation_ms": 7000,)" + (kSettings + 1));
  ASSERT_TRUE(stated.value.has_value());
  EXPECT_EQ(stated.value->configuration_time, std::chrono::seconds(4));
  EXPECT_EQ(stated.value->rollback_time, std::chrono::seconds(6));
  EXPECT_EQ(stated.value->evacuation_time, std::chrono::seconds(7));
}

// A host that may hold more than its machine has ends without a word.
TEST(GatewaySettingsTest, HeldBytesFollowFromTheMemoryUnlessStated) {
  const auto held = [](const std::string& more) {
    const auto parsed = ReadGatewaySettings("{" + more + (kSettings + 1));
    return parsed.value.has_value() ? parsed.value->most_held_bytes : 0;
  };
  constexpr std::size_t kMebibyte = std::size_t{1} << 20U;
  EXPECT_EQ(held(""), 64 * kMebibyte);
  EXPECT_EQ(held(R"("memory_mb": 4096,)"), 64 * kMebibyte);
  EXPECT_EQ(held(R"("memory_mb": 160,)"), 40 * kMebibyte);
  EXPECT_EQ(held(R"("memory_mb": 100.5,)"), 201 * kMebibyte / 8);
  EXPECT_EQ(held(R"("memory_mb": 1,)"), kMebibyte);
  EXPECT_EQ(held(R"("memory_mb": 160, "most_held_bytes": 2000000,)"), 2000000U);
}

// Callers that took all descriptors would leave none for servers and the store.
TEST(GatewaySettingsTest, AQuarterOfTheDescriptorsIsNotForCallers) {
  const auto parsed = ReadGatewaySettings(kSettings);
  ASSERT_TRUE(parsed.value.has_value());
  EXPECT_EQ(MostCallers(*parsed.value), 2306U);
  EXPECT_EQ(MostAskers(*parsed.value), 256U);
  EXPECT_LE(MostCallers(*parsed.value) + 3 * MostAskers(*parsed.value),
            parsed.value->most_descriptors * 3 / 4);
}

TEST(GatewaySettingsTest, AllFindingsAreReportedTogether) {
  const auto parsed = ReadGatewaySettings(R"({"host": 7, "seeds": "x"})");
  EXPECT_FALSE(parsed.value.has_value());
  EXPECT_GT(parsed.findings.size(), 5U);
}

}  // namespace
}  // namespace zinniastep::testing
