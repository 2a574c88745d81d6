#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "tests/process/child_process.h"
#include "tests/traffic/answer_texts.h"
#include "tests/traffic/engine_host.h"
#include "tests/traffic/scripted_server.h"

namespace zinniastep::testing {
namespace {

// How long no server is reached.
constexpr std::chrono::milliseconds kUnreachable(1500);

// The repeat budget's window is longer than this.
constexpr std::chrono::seconds kLongestAnswer(8);

// Returns an address at which nothing listens.
auto ClosedAddress() -> std::string {
  const ScriptedServer server(
      [](const std::string&) { return ScriptedAnswer{}; });
  return server.address();
}

// The server ends a while after the first two events of a stream.
auto EndAfterTwoEvents(const std::string& /*request*/) -> ScriptedAnswer {
  ScriptedAnswer answer{StreamHead() + Chunk(Event(1)) + Chunk(Event(2))};
  answer.end_after = std::chrono::milliseconds(500);
  answer.end_for = std::chrono::seconds(30);
  return answer;
}

auto GoOnAfterTwoEvents(const std::string& /*request*/) -> ScriptedAnswer {
  return {StreamHead() + Chunk(Event(3)) + Chunk(Event(4)) + kLastChunk};
}

// Returns the caller's answer to a stream whose server ends after two events,
// while that many others are reached only after a while.
auto CallWhileNoServerIsReached(std::size_t others, RepeatLimits limits = {})
    -> CallerAnswer {
  const ScriptedServer first(EndAfterTwoEvents);
  const ScriptedServer second(GoOnAfterTwoEvents);
  EngineHost host({&first}, limits);
  const auto list_others = [&](const std::string& address) {
    ServerAddresses servers{{first.address()}};
    servers.list.resize(1 + others, address);
    host.ListServers(servers);
  };
  std::thread network([&] {
    EXPECT_TRUE(Eventually([&first] { return first.requests().size() == 1; }));
    list_others(ClosedAddress());
    const auto reachable = std::chrono::steady_clock::now() + kUnreachable;
    EXPECT_TRUE(Eventually(
        [reachable] { return std::chrono::steady_clock::now() >= reachable; }));
    list_others(second.address());
  });
  CallerAnswer answer =
      host.CallUntil(EngineHost::Request("/stall/"), kLongestAnswer);
  network.join();
  EXPECT_EQ(second.requests().size(), 1U);
  return answer;
}

TEST(UndeliveredSends, AStreamIsNotCutWhileItsCallerStillWaits) {
  const CallerAnswer answer = CallWhileNoServerIsReached(6);
  EXPECT_TRUE(answer.whole);
  EXPECT_EQ(answer.body, Event(1) + Event(2) + Event(3) + Event(4));
}

TEST(UndeliveredSends, AStreamIsNotCutWhenAllOfFewServersWereTried) {
  const CallerAnswer answer = CallWhileNoServerIsReached(2);
  EXPECT_TRUE(answer.whole);
  EXPECT_EQ(answer.body, Event(1) + Event(2) + Event(3) + Event(4));
}

TEST(UndeliveredSends, SendsThatReachNoServerDoNotSpendTheRepeatBudget) {
  const CallerAnswer answer = CallWhileNoServerIsReached(6, {0.0, 3.0});
  EXPECT_TRUE(answer.whole);
  EXPECT_EQ(answer.body, Event(1) + Event(2) + Event(3) + Event(4));
}

TEST(UndeliveredSends, AStreamIsNotCutWhenAServerIsUnlistedDuringAPause) {
  const ScriptedServer first(EndAfterTwoEvents);
  const ScriptedServer second(GoOnAfterTwoEvents);
  EngineHost host({&first});
  std::thread network([&] {
    EXPECT_TRUE(Eventually([&first] { return first.requests().size() == 1; }));
    const auto begin = std::chrono::steady_clock::now();
    const auto wait_until = [begin](std::chrono::milliseconds after) {
      EXPECT_TRUE(Eventually([begin, after] {
        return std::chrono::steady_clock::now() >= begin + after;
      }));
    };
    host.ListServers(ServerAddresses{{first.address(), ClosedAddress()}});
    wait_until(std::chrono::milliseconds(800));
    host.ListServers(ServerAddresses{{first.address()}});
    wait_until(std::chrono::milliseconds(3500));
    host.ListServers(ServerAddresses{{first.address(), second.address()}});
  });
  const CallerAnswer answer = host.Call(EngineHost::Request("/stall/"));
  network.join();
  EXPECT_TRUE(answer.whole);
  EXPECT_EQ(answer.body, Event(1) + Event(2) + Event(3) + Event(4));
}

TEST(UndeliveredSends, ARequestThatHasNotRunIsRefusedAtOnce) {
  const std::string closed = ClosedAddress();
  EngineHost host(ServerAddresses{{closed, closed, closed, closed, closed}});
  const auto begin = std::chrono::steady_clock::now();
  EXPECT_EQ(host.Call(EngineHost::Request("/idem/")).status, 503);
  EXPECT_LT(std::chrono::steady_clock::now() - begin, kUnreachable);
}

}  // namespace
}  // namespace zinniastep::testing
