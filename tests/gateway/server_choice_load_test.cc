#include <cmath>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "libzinniastep/base/random.h"
#include "libzinniastep/gateway/server_chooser.h"
#include "libzinniastep/gateway/traffic_policy.h"
#include "tests/support/gateway_samples.h"
#include "tests/support/played_load.h"

namespace zinniastep::testing {
namespace {

// Hosts that see only their own answers must still find out which servers are
// slow, without all of them filling the fast ones.
TEST(ServerChoiceLoad, SlowServersGetFewerRequestsThanFastOnes) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    LoadShape shape;
    shape.seed = seed;
    PlayedLoad load(shape);
    load.Run(120);
    EXPECT_LT(load.RanAt(0.6), load.RanAt(1.0)) << seed;
    EXPECT_LT(load.RanAt(1.0), load.RanAt(1.6)) << seed;
    // A server that declines has received more than its share.
    EXPECT_LT(load.DeclinedPart(), 0.02) << seed;
    EXPECT_LT(load.HighestUse(), 1.0) << seed;
    // The same requests end later if the servers do not state their pace.
    shape.states_pace = false;
    PlayedLoad before(shape);
    before.Run(120);
    EXPECT_LT(load.MeanMs(), before.MeanMs()) << seed;
  }
}

// Two servers, "a" and "b", that hold so many tokens each.
auto ViewWithMemory(double tokens) -> std::shared_ptr<TrafficView> {
  auto view = View({Backend("a"), Backend("b")});
  ForwardingService service;
  service.id = ServiceId("pool");
  service.memory_tokens = tokens;
  view->policy = std::make_shared<TrafficPolicy>(
      1, std::vector<ForwardingRoute>{}, std::vector{service},
      CallerAccess(OpenAccess()), CallerLimits{});
  return view;
}

// Each of many hosts sees a small part of the answers, and knows little of most
// servers. Without an order of its own they would send to the same ones.
TEST(ServerChoiceLoad, ManyHostsDoNotFillTheSameServers) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    LoadShape shape;
    shape.servers = 30;
    shape.hosts = 70;
    shape.utilization = 0.3;
    shape.seed = seed;
    PlayedLoad load(shape);
    load.Run(60);
    shape.states_pace = false;
    PlayedLoad before(shape);
    before.Run(60);
    EXPECT_LT(load.RanAt(0.6), load.RanAt(1.6)) << seed;
    EXPECT_LE(load.DeclinedPart(), before.DeclinedPart()) << seed;
    EXPECT_LT(load.HighestUse(), 1.0) << seed;
    EXPECT_LT(load.MeanMs(), before.MeanMs()) << seed;
  }
}

// What the chooser knew of a server before it knew of paces.
struct PlainState {
  int open = 0;
  double others = 0.0;
  double waiting = 0.0;
  double failure_rate = 0.0;
  Instant load_at;
};

// The cost of a near server before paces were known.
auto PlainCost(const PlainState& state, Instant now) -> double {
  const double fade = std::exp(
      -std::chrono::duration<double>(now - state.load_at).count() / 3.0);
  return (state.open + state.others * fade) * 30.0 +
         state.waiting * fade * 150.0 + state.failure_rate * 2000.0;
}

// A deployment whose servers state no pace must be served as before, whatever
// its events' times and its prompts are.
TEST(ServerChoiceLoad, AServiceWithoutPaceChoosesAsBefore) {
  Random random(7);
  std::vector<BackendEntry> entries;
  std::map<std::string, PlainState> states;
  for (int index = 0; index < 8; ++index) {
    entries.push_back(Backend("s" + std::to_string(index)));
    entries.back().slots = index % 2 == 0 ? 12 : 64;
    states[entries.back().id.text()] = {};
  }
  ServerChooser chooser(HostId("h"), FailureDomainId("north"),
                        RegionId("here"));
  auto view = View(entries);
  ForwardingService service;
  service.id = ServiceId("pool");
  service.memory_tokens = 3000.0;
  view->policy = std::make_shared<TrafficPolicy>(
      1, std::vector<ForwardingRoute>{}, std::vector{service},
      CallerAccess(OpenAccess()), CallerLimits{});
  chooser.SetView(At(0), view);
  for (int step = 0; step < 2000; ++step) {
    const Instant now = At(std::int64_t{20} * step + 1);
    const BackendServerId id("s" + std::to_string(random.Below(8)));
    PlainState& state = states[id.text()];
    if (random.Below(3) == 0) {
      chooser.OnBegin(id, 1000.0);
      ++state.open;
    } else if (state.open > 0) {
      chooser.OnEnd(now, id, 1000.0);
      --state.open;
    }
    const ServerLoad load{static_cast<std::uint32_t>(random.Below(20)),
                          static_cast<std::uint32_t>(random.Below(3)), 12};
    chooser.OnLoad(now, id, load);
    state.others = std::max(
        0.0, static_cast<double>(load.running) + load.waiting - state.open);
    state.waiting = load.waiting;
    state.load_at = now;
    if (random.Below(10) == 0) {
      chooser.OnOutcome(now, id, SendOutcome::kServerFailure);
      state.failure_rate += 0.2 * (1.0 - state.failure_rate);
    } else {
      chooser.OnOutcome(now, id, SendOutcome::kAnswered);
      state.failure_rate += 0.2 * (0.0 - state.failure_rate);
    }
    ResponseTimes times;
    times.expected_first = std::chrono::milliseconds(100);
    times.first_event = std::chrono::milliseconds(1 + random.Below(2000));
    times.later_events = 8;
    times.later = std::chrono::milliseconds(1 + random.Below(2000));
    chooser.OnEventTimes(now, id, times);

    ServerNeed need;
    need.service = ServiceId("pool");
    need.work_ms = 500.0;
    need.tokens = 2000.0;
    const UsableBackend* chosen = chooser.Choose(now, need);
    ASSERT_NE(chosen, nullptr);
    const double cost = PlainCost(states[chosen->entry.id.text()], now);
    for (const auto& [other, known] : states) {
      ASSERT_LE(cost, PlainCost(known, now)) << other << " at step " << step;
    }
  }
}

// A server ends when its requests exceed its memory, so that one without room
// must come after all others, also after paced and more loaded ones.
TEST(ServerChoiceLoad, AServerWithoutMemoryComesLast) {
  auto view = ViewWithMemory(10'000.0);
  view->cold_rates[BackendServerId("b")] = 0.001;
  ServerChooser chooser(HostId("h"), FailureDomainId("north"),
                        RegionId("here"));
  chooser.SetView(At(0), view);
  chooser.OnLoad(At(0), BackendServerId("b"), {4, 4, 4, 400});
  for (int request = 0; request < 9; ++request) {
    chooser.OnBegin(BackendServerId("a"), 1000.0);
  }
  ServerNeed need;
  need.service = ServiceId("pool");
  need.tokens = 500.0;
  EXPECT_EQ(chooser.Choose(At(0), need)->entry.id.text(), "a");
  need.tokens = 2000.0;
  for (int request = 0; request < 3; ++request) {
    EXPECT_EQ(chooser.Choose(At(0), need)->entry.id.text(), "b") << request;
  }
  // Without any other server it is still used.
  const std::vector<BackendServerId> tried = {BackendServerId("b")};
  need.tried = tried;
  EXPECT_EQ(chooser.Choose(At(0), need)->entry.id.text(), "a");
}

// Requests of other hosts hold memory as well.
TEST(ServerChoiceLoad, ReportedRequestsHoldMemory) {
  auto view = ViewWithMemory(10'000.0);
  ServerChooser chooser(HostId("h"), FailureDomainId("north"),
                        RegionId("here"));
  chooser.SetView(At(0), view);
  for (int request = 0; request < 3; ++request) {
    chooser.OnBegin(BackendServerId("b"), 3000.0);
  }
  chooser.OnLoad(At(0), BackendServerId("a"), {3, 0, 4, 10});
  chooser.OnLoad(At(0), BackendServerId("b"), {3, 0, 4, 1000});
  ServerNeed need;
  need.service = ServiceId("pool");
  need.tokens = 1000.0;
  EXPECT_EQ(chooser.Choose(At(0), need)->entry.id.text(), "a");
  chooser.OnLoad(At(0), BackendServerId("a"), {4, 0, 4, 10});
  EXPECT_EQ(chooser.Choose(At(0), need)->entry.id.text(), "b");
}

// A new incarnation may be another machine: what was learned of the one before
// must not be charged to it.
TEST(ServerChoiceLoad, ANewIncarnationBeginsWithoutData) {
  BackendEntry a = Backend("a");
  const BackendEntry b = Backend("b");
  ServerChooser chooser(HostId("h"), FailureDomainId("north"),
                        RegionId("here"));
  chooser.SetView(At(0), View({a, b}));
  ServerNeed need;
  need.service = ServiceId("pool");
  need.work_ms = 500.0;
  chooser.OnLoad(At(0), BackendServerId("a"), {0, 0, 4, 1000});
  chooser.OnLoad(At(0), BackendServerId("b"), {1, 0, 4, 100});
  EXPECT_EQ(chooser.Choose(At(0), need)->entry.id.text(), "b");
  a.started = 2;
  chooser.SetView(At(0), View({a, b}));
  EXPECT_EQ(chooser.Choose(At(0), need)->entry.id.text(), "a");
}

TEST(ServerChoiceLoad, APaceOutOfBoundsIsRefusedAndItsLoadIsTaken) {
  ServerChooser chooser(HostId("h"), FailureDomainId("north"),
                        RegionId("here"));
  chooser.SetView(At(0), View({Backend("a"), Backend("b")}));
  EXPECT_FALSE(chooser.OnLoad(At(0), BackendServerId("a"), {3, 0, 4, 0}));
  EXPECT_FALSE(chooser.OnLoad(At(0), BackendServerId("a"), {3, 0, 4, 1001}));
  EXPECT_TRUE(chooser.OnLoad(At(0), BackendServerId("b"), {1, 0, 4}));
  ServerNeed need;
  need.service = ServiceId("pool");
  EXPECT_EQ(chooser.Choose(At(0), need)->entry.id.text(), "b");
}

}  // namespace
}  // namespace zinniastep::testing
