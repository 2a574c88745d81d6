#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "libzinniastep/core/action.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/membership/membership.h"
#include "tests/support/virtual_time.h"

namespace zinniastep::testing {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(10);
constexpr Duration kHop = std::chrono::milliseconds(1);

auto Identity(const std::string& name) -> HostIdentity {
  HostIdentity identity;
  identity.host = HostId(name);
  identity.incarnation = 7;
  identity.peer_address = name + ":7001";
  identity.domain = FailureDomainId("perth-a");
  identity.region = RegionId("perth");
  return identity;
}

auto SettingsWithSeed(const std::string& name) -> MembershipSettings {
  MembershipSettings settings;
  settings.seeds = {name + ":7001"};
  return settings;
}

// Guards against a host without seeds waiting a whole host_list_period when its
// first host list is empty because its peers are not listed yet.
TEST(JoinTest, HostWithoutPeersRereadsHostListEarly) {
  MembershipSettings settings;
  settings.host_list_period = std::chrono::seconds(60);
  Membership host(Identity("alone"), settings, 1);
  VirtualTime time;
  int reads = 0;
  for (Duration waited{0}; waited < std::chrono::seconds(10); waited += kTick) {
    time.RunFor(kTick);
    Effects effects;
    host.OnTime(time.now(), effects);
    for (const Action& action : effects.TakeActions()) {
      if (std::holds_alternative<ReadHostList>(action)) {
        ++reads;
        host.OnHostList(time.now(), {});
      }
    }
  }
  EXPECT_GE(reads, 3);
}

// Simulates two hosts. Messages are dropped until the second host's port opens,
// which is later than the start of the first host.
class TwoHosts {
 public:
  TwoHosts()
      : first_(Identity("first"), SettingsWithSeed("second"), 1),
        second_(Identity("second"), SettingsWithSeed("first"), 2) {}

  auto RunUntilJoined(Duration opens, Duration longest) -> Duration {
    Tick(first_);
    time_.After(opens, [this] {
      open_ = true;
      Tick(second_);
    });
    Duration waited{0};
    while (waited < longest && !first_.joined()) {
      time_.RunFor(kTick);
      waited += kTick;
    }
    return waited;
  }

 private:
  auto Tick(Membership& host) -> void {
    Effects effects;
    host.OnTime(time_.now(), effects);
    CarryOut(host, effects);
    time_.After(kTick, [this, &host] { Tick(host); });
  }

  auto CarryOut(Membership& from, Effects& effects) -> void {
    (void)effects.TakeNotices();
    Membership& to = &from == &first_ ? second_ : first_;
    for (Action& action : effects.TakeActions()) {
      auto* send = std::get_if<SendToPeer>(&action);
      if (send == nullptr || !open_) {
        continue;
      }
      time_.After(kHop, [this, &from, &to, message = send->message] {
        Effects answers;
        to.OnMessage(time_.now(),
                     {from.self().host, from.self().incarnation,
                      from.self().peer_address},
                     std::get<MembershipMessage>(message), answers);
        CarryOut(to, answers);
      });
    }
  }

  VirtualTime time_;
  Membership first_;
  Membership second_;
  bool open_ = false;
};

// Guards against a host waiting a whole sync_period for its next sync request
// when the first peer asked does not listen yet, because all hosts of a fleet
// start together.
TEST(JoinTest, HostJoinsSoonAfterPeerStartsListening) {
  for (const int late_ms : {5, 100, 400, 1200}) {
    TwoHosts hosts;
    const Duration opens = std::chrono::milliseconds(late_ms);
    const MembershipSettings settings;
    const Duration took = hosts.RunUntilJoined(opens, std::chrono::seconds(20));
    // The next probe period finds the peer, and a sync request follows within
    // the probe timeout.
    EXPECT_LE(took, opens + settings.probe_period + settings.probe_timeout +
                        std::chrono::milliseconds(100))
        << late_ms;
  }
}

}  // namespace
}  // namespace zinniastep::testing
