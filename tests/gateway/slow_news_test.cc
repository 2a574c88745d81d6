#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "libzinniastep/gateway/gateway_core.h"
#include "tests/support/gateway_fleet.h"

namespace zinniastep::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Hosts, failure domains and lost datagrams of a fleet with two regions.
constexpr std::size_t kHosts = 77;
constexpr std::size_t kDomains = 6;
constexpr std::uint64_t kLoseOneIn = 40;
constexpr double kHostLink = 10e6 / 8;
constexpr int kChanges = 120;
// A change has to be in effect after this time.
constexpr Duration kInForce = milliseconds(2500);

auto HostsBehind(const GatewayFleet& fleet, std::uint64_t version)
    -> std::size_t {
  std::size_t behind = 0;
  for (std::size_t host = 0; host < kHosts; ++host) {
    behind += fleet.View(host).policy->version() < version ? 1 : 0;
  }
  return behind;
}

TEST(SlowNewsTest, EveryHostHearsOfEachChangeInTime) {
  GatewayFleet fleet({.hosts = kHosts,
                      .domains = kDomains,
                      .host_link = kHostLink,
                      .lose_one_in = kLoseOneIn});
  fleet.Put(RecordKind::kConfiguration, "main", "1");
  fleet.Run(seconds(8));
  std::size_t late = 0;
  for (std::uint64_t version = 2; version < 2 + kChanges; ++version) {
    fleet.Put(RecordKind::kConfiguration, "main", std::to_string(version));
    fleet.Run(kInForce);
    late += HostsBehind(fleet, version);
  }
  EXPECT_EQ(late, 0U);
}

TEST(SlowNewsTest, AHostThatReportsAnOlderStateIsTold) {
  GatewayFleet fleet(2);
  fleet.Put(RecordKind::kConfiguration, "main", "1");
  fleet.Run(seconds(6));
  fleet.Put(RecordKind::kConfiguration, "main", "2");
  fleet.Run(seconds(1));
  const HostIdentity& peer = fleet.core(1).self();
  HostDigest digest;
  digest.kinds.at(0) = {{0, 1}, 1};
  const auto answers = [&] {
    std::size_t count = 0;
    for (const GatewayAction& action : fleet.core(0).OnPeerMessage(
             fleet.now(), {peer.host, peer.incarnation, peer.peer_address},
             PeerMessage(GatewayMessage(digest)))) {
      const auto* send = std::get_if<SendToPeer>(&action);
      const auto* message = send == nullptr
                                ? nullptr
                                : std::get_if<GatewayMessage>(&send->message);
      count += message != nullptr && send->address == peer.peer_address &&
                       std::holds_alternative<HostDigest>(*message)
                   ? 1
                   : 0;
    }
    return count;
  };
  EXPECT_EQ(answers(), 1U);
  EXPECT_EQ(answers(), 0U) << "hosts would answer each other without end";
}

}  // namespace
}  // namespace zinniastep::testing
