#include "libzinniastep/gateway/store_duty.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/support/gateway_samples.h"

namespace zinniastep::testing {
namespace {

constexpr std::size_t kHosts = 60;

auto Hosts(std::size_t count) -> std::vector<HostIdentity> {
  std::vector<HostIdentity> hosts(count);
  for (std::size_t i = 0; i < count; ++i) {
    hosts[i].host = HostId("h" + std::to_string(i));
  }
  return hosts;
}

// The duties of a region's hosts that started at zero and know each other.
auto Duties(std::size_t count) -> std::vector<StoreDuty> {
  const std::vector<HostIdentity> hosts = Hosts(count);
  const HostRing ring(hosts);
  std::vector<StoreDuty> duties;
  for (const HostIdentity& host : hosts) {
    duties.emplace_back(host.host);
    duties.back().OnStart(At(0));
    duties.back().OnHosts(count, ring);
  }
  return duties;
}

auto Readers(const std::vector<StoreDuty>& duties, Instant now) -> std::size_t {
  std::size_t readers = 0;
  for (const StoreDuty& duty : duties) {
    readers += duty.Reads(now, true) ? 1 : 0;
  }
  return readers;
}

auto Word(const std::string& reader, std::uint64_t age_ms) -> HostDigest {
  HostDigest digest;
  digest.store_reader = HostId(reader);
  digest.store_age_ms = age_ms;
  return digest;
}

TEST(StoreDuty, EachHostOfASmallFleetReads) {
  EXPECT_EQ(Readers(Duties(8), At(2000)), 8U);
}

TEST(StoreDuty, AHostThatStartsAsksItsPeersFirst) {
  const std::vector<StoreDuty> duties = Duties(8);
  EXPECT_FALSE(duties[0].Reads(At(100), false));
  EXPECT_TRUE(duties[0].Reads(At(300), false));
  EXPECT_FALSE(duties[0].Reads(At(300), true)) << "peers brought all";
}

TEST(StoreDuty, OthersStepInOneByOneWhenNobodyHearsFromTheStore) {
  const std::vector<StoreDuty> duties = Duties(kHosts);
  EXPECT_EQ(Readers(duties, At(2000)), 2U);
  EXPECT_EQ(Readers(duties, At(3001)), 3U);
  EXPECT_EQ(Readers(duties, At(3301)), 5U);
  EXPECT_EQ(Readers(duties, At(12'000)), kHosts);
}

TEST(StoreDuty, AWordOfAPeerKeepsOthersFromReading) {
  std::vector<StoreDuty> duties = Duties(kHosts);
  for (StoreDuty& duty : duties) {
    duty.OnDigest(At(12'000), Word("h3", 500));
    // Older news changes nothing.
    duty.OnDigest(At(12'000), Word("h4", 9000));
  }
  EXPECT_LE(Readers(duties, At(12'000)), 3U);
}

TEST(StoreDuty, TellsTheNewestWordAndItsAge) {
  StoreDuty duty(HostId("me"));
  duty.OnStart(At(0));
  duty.OnDigest(At(2000), Word("other", 500));
  HostDigest digest;
  duty.Tell(At(2100), digest);
  EXPECT_EQ(digest.store_reader, HostId("other"));
  EXPECT_EQ(digest.store_age_ms, 600U);
  duty.OnOwnWord(At(2200));
  duty.Tell(At(2250), digest);
  EXPECT_EQ(digest.store_reader, HostId("me"));
  EXPECT_EQ(digest.store_age_ms, 50U);
}

}  // namespace
}  // namespace zinniastep::testing
