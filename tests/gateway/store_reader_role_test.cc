#include "libzinniastep/gateway/store_reader_role.h"

#include <cstdint>
#include <limits>
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

// The roles of a region's hosts that started at time zero and have met.
auto Roles(std::size_t count) -> std::vector<StoreReaderRole> {
  const std::vector<HostIdentity> hosts = Hosts(count);
  const HostRing ring(hosts);
  std::vector<StoreReaderRole> roles;
  for (const HostIdentity& host : hosts) {
    roles.emplace_back(host.host);
    roles.back().OnStart(At(0));
    roles.back().OnHostsChanged(count, ring);
  }
  return roles;
}

auto CountReaders(const std::vector<StoreReaderRole>& roles, Instant now)
    -> std::size_t {
  std::size_t readers = 0;
  for (const StoreReaderRole& role : roles) {
    readers += role.ShouldRead(now, true) ? 1 : 0;
  }
  return readers;
}

auto ReaderDigest(const std::string& reader, std::uint64_t age_ms)
    -> HostDigest {
  HostDigest digest;
  digest.store_reader = HostId(reader);
  digest.store_age_ms = age_ms;
  return digest;
}

TEST(StoreReaderRole, EveryHostOfASmallFleetReads) {
  EXPECT_EQ(CountReaders(Roles(8), At(2000)), 8U);
}

TEST(StoreReaderRole, AStartingHostRequestsFromPeersFirst) {
  const std::vector<StoreReaderRole> roles = Roles(8);
  EXPECT_FALSE(roles[0].ShouldRead(At(100), false));
  EXPECT_TRUE(roles[0].ShouldRead(At(300), false));
  EXPECT_FALSE(roles[0].ShouldRead(At(300), true)) << "peers sent all records";
}

TEST(StoreReaderRole, OtherHostsTakeOverOneByOneWhenTheStoreAnswersNoReader) {
  const std::vector<StoreReaderRole> roles = Roles(kHosts);
  EXPECT_EQ(CountReaders(roles, At(2000)), 2U);
  EXPECT_EQ(CountReaders(roles, At(3001)), 3U);
  EXPECT_EQ(CountReaders(roles, At(3301)), 5U);
  EXPECT_EQ(CountReaders(roles, At(12'000)), kHosts);
}

TEST(StoreReaderRole, AnAgeThatDoesNotFitIsNoAnswerFromTheFuture) {
  for (const std::uint64_t age_ms :
       {std::uint64_t{18'000'000'000'000'000},
        std::numeric_limits<std::uint64_t>::max()}) {
    std::vector<StoreReaderRole> roles = Roles(kHosts);
    for (StoreReaderRole& role : roles) {
      role.OnDigest(At(2000), ReaderDigest("h3", age_ms));
    }
    EXPECT_EQ(CountReaders(roles, At(12'000)), kHosts) << age_ms;
  }
}

TEST(StoreReaderRole, ARecentAnswerToAPeerKeepsOtherHostsFromReading) {
  std::vector<StoreReaderRole> roles = Roles(kHosts);
  for (StoreReaderRole& role : roles) {
    role.OnDigest(At(12'000), ReaderDigest("h3", 500));
    // A report of an older answer changes nothing.
    role.OnDigest(At(12'000), ReaderDigest("h4", 9000));
  }
  EXPECT_LE(CountReaders(roles, At(12'000)), 3U);
}

TEST(StoreReaderRole, ReportsTheLatestAnswerAndItsAge) {
  StoreReaderRole role(HostId("me"));
  role.OnStart(At(0));
  role.OnDigest(At(2000), ReaderDigest("other", 500));
  HostDigest digest;
  role.FillDigest(At(2100), digest);
  EXPECT_EQ(digest.store_reader, HostId("other"));
  EXPECT_EQ(digest.store_age_ms, 600U);
  role.OnStoreAnswer(At(2200));
  role.FillDigest(At(2250), digest);
  EXPECT_EQ(digest.store_reader, HostId("me"));
  EXPECT_EQ(digest.store_age_ms, 50U);
}

}  // namespace
}  // namespace zinniastep::testing
