#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "libzinniastep/base/random.h"
#include "libzinniastep/core/action.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/gateway/gateway_membership.h"
#include "libzinniastep/membership/membership.h"
#include "tests/support/virtual_time.h"

namespace zinniastep::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kHosts = 67;
constexpr std::uint64_t kRounds = 20;
// How often a host's control thread wakes, and how long a message travels.
constexpr Duration kTick = milliseconds(100);
constexpr Duration kHop = milliseconds(2);
// Time that a slow host takes to handle one of the messages that waited.
constexpr Duration kHandling = milliseconds(1);

// Hosts in virtual time whose control threads can stand still. What they are
// sent meanwhile waits, and is handled after the timer that has run out.
class HeldUpFleet {
 public:
  explicit HeldUpFleet(std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < kHosts; ++i) {
      HostIdentity identity;
      identity.host = HostId("host-" + std::to_string(i));
      identity.incarnation = i + 1;
      identity.peer_address = AddressOf(i);
      identity.domain = FailureDomainId(i % 2 == 0 ? "perth-a" : "perth-b");
      identity.region = RegionId("perth");
      by_address_[identity.peer_address] = i;
      GatewaySettings settings;
      settings.seeds = {AddressOf(0), AddressOf(1)};
      hosts_.emplace_back().membership = std::make_unique<Membership>(
          identity, GatewayMembership(settings), random_.Next());
    }
    for (std::size_t i = 0; i < kHosts; ++i) {
      time_.After(milliseconds(random_.Below(100)), [this, i] { Tick(i); });
    }
    time_.RunFor(seconds(15));
    verdicts_.clear();
    contradictions_.clear();
  }

  auto RunFor(Duration time) -> void { time_.RunFor(time); }

  // Lets a host's control thread stand still after some time, from the end of
  // its next call of OnTime on, as when that call also applies a configuration.
  auto HoldUp(std::size_t host, Duration after, Duration time) -> void {
    time_.After(after,
                [this, host, time] { hosts_[host].hold_up_next = time; });
  }

  // Ends a host for good.
  auto Stop(std::size_t host) -> void { hosts_[host].stopped = true; }

  // Number of hosts that declared a host lost.
  [[nodiscard]] auto Verdicts(std::size_t host) const -> std::size_t {
    const auto found = verdicts_.find(NameOf(host));
    return found == verdicts_.end() ? 0 : found->second;
  }
  [[nodiscard]] auto Verdicts() const -> std::size_t { return Sum(verdicts_); }
  // Number of times that a host other than the given one had to refute a
  // suspicion.
  [[nodiscard]] auto ContradictionsExceptOf(std::size_t host) const
      -> std::size_t {
    const auto found = contradictions_.find(NameOf(host));
    return Sum(contradictions_) -
           (found == contradictions_.end() ? 0 : found->second);
  }

 private:
  using Counts = std::map<HostId, std::size_t>;
  struct Host {
    std::unique_ptr<Membership> membership;
    bool held_up = false;
    bool stopped = false;
    bool owes_tick = false;
    // How long the thread stands still after the next tick.
    Duration hold_up_next{0};
    std::vector<VirtualTime::Work> waiting;
  };

  static auto NameOf(std::size_t host) -> HostId {
    return HostId("host-" + std::to_string(host));
  }
  static auto AddressOf(std::size_t host) -> std::string {
    return "host-" + std::to_string(host) + ":7001";
  }
  static auto Sum(const Counts& counts) -> std::size_t {
    std::size_t sum = 0;
    for (const auto& [host, count] : counts) {
      sum += count;
    }
    return sum;
  }

  auto Tick(std::size_t host) -> void {
    if (hosts_[host].stopped) {
      return;
    }
    if (hosts_[host].held_up) {
      hosts_[host].owes_tick = true;
      return;
    }
    Effects effects;
    hosts_[host].membership->OnTime(time_.now(), effects);
    CarryOut(host, effects);
    const Duration hold_up =
        std::exchange(hosts_[host].hold_up_next, Duration(0));
    if (hold_up > Duration(0)) {
      hosts_[host].held_up = true;
      time_.After(hold_up, [this, host] { Resume(host); });
    }
    time_.After(kTick, [this, host] { Tick(host); });
  }

  auto Resume(std::size_t host) -> void {
    hosts_[host].held_up = false;
    if (std::exchange(hosts_[host].owes_tick, false)) {
      Tick(host);
    }
    Duration delay{0};
    for (VirtualTime::Work& work : std::exchange(hosts_[host].waiting, {})) {
      delay += kHandling;
      time_.After(delay, std::move(work));
    }
  }

  auto Deliver(std::size_t host,
               const PeerRef& from,
               const MembershipMessage& message) -> void {
    if (hosts_[host].stopped) {
      return;
    }
    if (hosts_[host].held_up) {
      hosts_[host].waiting.emplace_back(
          [this, host, from, message] { Deliver(host, from, message); });
      return;
    }
    Effects effects;
    hosts_[host].membership->OnMessage(time_.now(), from, message, effects);
    CarryOut(host, effects);
  }

  auto CarryOut(std::size_t host, Effects& effects) -> void {
    const HostIdentity& self = hosts_[host].membership->self();
    for (const Notice& notice : effects.TakeNotices()) {
      if (const auto* lost = std::get_if<HostLost>(&notice)) {
        ++verdicts_[lost->host];
      }
    }
    for (Action& action : effects.TakeActions()) {
      if (const auto* event = std::get_if<LogEvent>(&action)) {
        contradictions_[self.host] +=
            event->event == "membership_contradicted" ? 1 : 0;
      } else if (const auto* send = std::get_if<SendToPeer>(&action)) {
        time_.After(
            kHop,
            [this, to = by_address_.at(send->address),
             from = PeerRef{self.host, self.incarnation, self.peer_address},
             message = std::get<MembershipMessage>(send->message)] {
              Deliver(to, from, message);
            });
      }
    }
  }

  Random random_;
  VirtualTime time_;
  std::vector<Host> hosts_;
  std::map<std::string, std::size_t> by_address_;
  Counts verdicts_;
  Counts contradictions_;
};

// Guards against a host that suspects the hosts whose answers waited unread
// while its own control thread stood still.
TEST(HeldUpHostTest, AHeldUpHostSuspectsNoOther) {
  for (const int stall_ms : {300, 500, 700, 900}) {
    HeldUpFleet fleet(stall_ms);
    std::size_t contradictions = 0;
    for (std::uint64_t round = 0; round < kRounds; ++round) {
      const std::size_t before = fleet.ContradictionsExceptOf(5);
      fleet.HoldUp(5, milliseconds(37 * round), milliseconds(stall_ms));
      fleet.RunFor(seconds(5));
      contradictions += fleet.ContradictionsExceptOf(5) - before;
    }
    EXPECT_EQ(contradictions, 0U) << stall_ms << " ms";
    EXPECT_EQ(fleet.Verdicts() - fleet.Verdicts(5), 0U) << stall_ms << " ms";
  }
}

// Guards against a host that is declared lost although it can refute in time.
TEST(HeldUpHostTest, AHostHeldUpBelowASecondIsNotLost) {
  for (const int stall_ms : {300, 500, 700, 900}) {
    HeldUpFleet fleet(stall_ms);
    for (std::uint64_t round = 0; round < kRounds; ++round) {
      fleet.HoldUp(5, milliseconds(37 * round), milliseconds(stall_ms));
      fleet.RunFor(seconds(5));
    }
    EXPECT_EQ(fleet.Verdicts(5), 0U) << stall_ms << " ms";
  }
}

// Guards against wrong verdicts while all hosts decode a large configuration
// within a few seconds.
TEST(HeldUpHostTest, HostsHeldUpOneAfterTheOtherAreNotLost) {
  for (const std::uint64_t seed : {1, 2, 3, 4}) {
    HeldUpFleet fleet(seed);
    Random random(seed);
    for (std::size_t host = 0; host < kHosts; ++host) {
      fleet.HoldUp(host, milliseconds(random.Below(4000)),
                   milliseconds(300 + random.Below(600)));
    }
    fleet.RunFor(seconds(10));
    EXPECT_EQ(fleet.Verdicts(), 0U) << "seed " << seed;
  }
}

// Guards against a late verdict on a host that is really lost.
TEST(HeldUpHostTest, AStoppedHostIsLostWhileOthersAreHeldUp) {
  HeldUpFleet fleet(1);
  fleet.Stop(5);
  for (std::size_t host = 6; host < 16; ++host) {
    fleet.HoldUp(host, Duration(0), milliseconds(900));
  }
  fleet.RunFor(seconds(4));
  EXPECT_EQ(fleet.Verdicts(5), kHosts - 1);
}

}  // namespace
}  // namespace zinniastep::testing
