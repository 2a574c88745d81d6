#include <chrono>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "tests/process/child_process.h"
#include "tests/traffic/engine_host.h"
#include "tests/traffic/scripted_server.h"

namespace zinniastep::testing {
namespace {

constexpr char kLastChunk[] = "0\r\n\r\n";
constexpr std::chrono::milliseconds kSilence(2200);

auto StreamHead() -> std::string {
  return "HTTP/1.1 200 OK\r\nZinniastep-Attempt-Id: a1\r\n"
         "Zinniastep-Server-Signature: s\r\nContent-Type: "
         "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

auto Event(int id) -> std::string {
  return "id: " + std::to_string(id) + "\ndata: t" + std::to_string(id) +
         "\n\n";
}

auto Events(int from, int to) -> std::string {
  std::ostringstream chunks;
  for (int id = from; id <= to; ++id) {
    const std::string event = Event(id);
    chunks << std::hex << event.size() << std::dec << "\r\n" << event << "\r\n";
  }
  return chunks.str();
}

// Two events, a silence, and two more.
auto StreamWithSilence(const std::string&) -> ScriptedAnswer {
  ScriptedAnswer answer{StreamHead() + Events(1, 2)};
  answer.rest = Events(3, 4) + kLastChunk;
  answer.rest_after = kSilence;
  return answer;
}

auto Declined(const std::string&) -> ScriptedAnswer {
  return {
      "HTTP/1.1 503 Service Unavailable\r\nZinniastep-Attempt-Id: a1\r\n"
      "Zinniastep-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
}

auto WholeStream() -> std::string {
  return Event(1) + Event(2) + Event(3) + Event(4);
}

TEST(SilentServer, AStreamIsNotCutWithoutAnotherServer) {
  const ScriptedServer server(StreamWithSilence);
  EngineHost host({&server});
  const CallerAnswer answer = host.Call(EngineHost::Request("/stall/"));
  EXPECT_TRUE(answer.whole);
  EXPECT_EQ(answer.body, WholeStream());
  EXPECT_EQ(server.requests().size(), 1U);
}

TEST(SilentServer, AStreamIsNotCutWhenItsAttemptsAreUsedUp) {
  const ScriptedServer first(StreamWithSilence);
  const ScriptedServer second(StreamWithSilence);
  EngineHost host({&first, &second});
  const CallerAnswer answer = host.Call(EngineHost::Request("/single/"));
  EXPECT_TRUE(answer.whole);
  EXPECT_EQ(answer.body, WholeStream());
  EXPECT_EQ(first.requests().size() + second.requests().size(), 1U);
}

TEST(SilentServer, AStreamIsNotCutWhenTheRepeatBudgetIsSpent) {
  const ScriptedServer first(StreamWithSilence);
  const ScriptedServer second(StreamWithSilence);
  EngineHost host({&first, &second}, RepeatLimits{0.0, 0.0});
  const CallerAnswer answer = host.Call(EngineHost::Request("/stall/"));
  EXPECT_TRUE(answer.whole);
  EXPECT_EQ(answer.body, WholeStream());
  EXPECT_EQ(first.requests().size() + second.requests().size(), 1U);
}

// Lists a second server once the first one runs the request, and returns the
// caller's answer.
auto CallWhileASecondServerAppears(const ScriptedServer& first,
                                   const ScriptedServer& second)
    -> CallerAnswer {
  EngineHost host({&first});
  std::thread lister([&] {
    EXPECT_TRUE(Eventually([&] { return first.requests().size() == 1; }));
    host.ListServers({{first.address(), second.address()}});
  });
  CallerAnswer answer = host.Call(EngineHost::Request("/stall/"));
  lister.join();
  return answer;
}

TEST(SilentServer, AStreamIsNotCutWhenTheOtherServerDeclines) {
  const ScriptedServer first([](const std::string& request) {
    if (HeaderOf(request, "Last-Event-Id").empty()) {
      return StreamWithSilence(request);
    }
    return ScriptedAnswer{StreamHead() + Events(3, 4) + kLastChunk};
  });
  const ScriptedServer second(Declined);
  const CallerAnswer answer = CallWhileASecondServerAppears(first, second);
  EXPECT_TRUE(answer.whole);
  EXPECT_EQ(answer.body, WholeStream());
  EXPECT_EQ(second.requests().size(), 1U);
}

TEST(SilentServer, AStreamMovesToAServerThatCanTakeIt) {
  const ScriptedServer first(StreamWithSilence);
  const ScriptedServer second([](const std::string&) {
    return ScriptedAnswer{StreamHead() + Events(3, 4) + kLastChunk};
  });
  const CallerAnswer answer = CallWhileASecondServerAppears(first, second);
  EXPECT_TRUE(answer.whole);
  EXPECT_EQ(answer.body, WholeStream());
  ASSERT_EQ(second.requests().size(), 1U);
  EXPECT_EQ(HeaderOf(second.requests()[0], "Last-Event-Id"), "2");
}

TEST(SilentServer, AStreamReachesNoMoreServersThanItsRouteAllows) {
  const auto never = [](const std::string&) {
    return ScriptedAnswer{"", false, true};
  };
  const ScriptedServer servers[] = {
      ScriptedServer(never), ScriptedServer(never), ScriptedServer(never),
      ScriptedServer(never), ScriptedServer(never)};
  std::vector<const ScriptedServer*> all;
  for (const ScriptedServer& server : servers) {
    all.push_back(&server);
  }
  EngineHost host(all);
  host.CallUntil(EngineHost::Request("/stall/"), std::chrono::seconds(9));
  std::size_t reached = 0;
  for (const ScriptedServer* server : all) {
    reached += server->requests().empty() ? 0 : 1;
  }
  EXPECT_EQ(reached, 3U);
}

TEST(SilentServer, AStreamThatHasNotBegunIsNotGivenUpWithoutAnotherServer) {
  const ScriptedServer server([](const std::string&) {
    ScriptedAnswer answer;
    answer.rest = StreamHead() + Events(1, 4) + kLastChunk;
    answer.rest_after = kSilence;
    return answer;
  });
  EngineHost host({&server});
  const CallerAnswer answer = host.Call(EngineHost::Request("/stall/"));
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body, WholeStream());
}

TEST(SilentServer, ALateAnswerIsNotGivenUpWithoutAnotherServer) {
  const ScriptedServer server([](const std::string&) {
    ScriptedAnswer answer;
    answer.rest =
        "HTTP/1.1 200 OK\r\nZinniastep-Attempt-Id: a1\r\n"
        "Zinniastep-Server-Signature: s\r\nContent-Length: 2\r\n\r\nhi";
    answer.rest_after = std::chrono::milliseconds(1000);
    return answer;
  });
  EngineHost host({&server});
  const CallerAnswer answer = host.Call(EngineHost::Request("/quick/"));
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body, "hi");
}

TEST(SilentServer, AStreamThatBrokeWaitsForAColdServerUntilItsDeadline) {
  const ScriptedServer broken([](const std::string&) {
    ScriptedAnswer answer{StreamHead() + Events(1, 2)};
    answer.rest = "no chunk";
    answer.rest_after = std::chrono::milliseconds(500);
    return answer;
  });
  const ScriptedServer later([](const std::string&) {
    return ScriptedAnswer{StreamHead() + Events(3, 4) + kLastChunk};
  });
  EngineHost host({&broken});
  std::thread lister([&] {
    EXPECT_TRUE(Eventually([&] { return broken.requests().size() == 1; }));
    host.ListServers({{broken.address(), later.address()}});
    host.ChangeView([](TrafficView& view) {
      view.backends[1].cold_until =
          Instant(std::chrono::duration_cast<Duration>(
              std::chrono::steady_clock::now().time_since_epoch())) +
          std::chrono::milliseconds(1000);
    });
  });
  const CallerAnswer answer = host.Call(EngineHost::Request("/stall/"));
  lister.join();
  EXPECT_TRUE(answer.whole);
  EXPECT_EQ(answer.body, WholeStream());
}

TEST(SilentServer, ARequestThatWasMovedWaitsForTheServerThatItLeft) {
  const auto now = [] {
    return Instant(std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
  };
  bool is_repeat = false;
  const ScriptedServer first([&](const std::string&) {
    ScriptedAnswer answer{StreamHead() + Events(1, 4) + kLastChunk};
    if (!std::exchange(is_repeat, true)) {
      answer.rest = std::exchange(answer.bytes, {});
      answer.rest_after = kSilence;
    }
    return answer;
  });
  const ScriptedServer second([](const std::string& request) {
    ScriptedAnswer answer;
    answer.rest = Declined(request).bytes;
    answer.rest_after = std::chrono::milliseconds(300);
    return answer;
  });
  EngineHost host({&first});
  std::thread lister([&] {
    EXPECT_TRUE(Eventually([&] { return first.requests().size() == 1; }));
    host.ListServers({{first.address(), second.address()}});
    EXPECT_TRUE(Eventually([&] { return second.requests().size() == 1; }));
    host.ChangeView([&](TrafficView& view) {
      view.backends[0].cold_until = now() + std::chrono::milliseconds(1000);
    });
  });
  const CallerAnswer answer = host.Call(EngineHost::Request("/stall/"));
  lister.join();
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body, WholeStream());
}

TEST(SilentServer, AWeakAnswerIsNotDroppedWithoutAnotherServer) {
  const ScriptedServer server([](const std::string&) {
    ScriptedAnswer answer;
    answer.rest =
        "HTTP/1.1 200 OK\r\nZinniastep-Attempt-Id: a1\r\n"
        "Zinniastep-Server-Signature: s\r\nZinniastep-Confidence: 10\r\n"
        "Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n" +
        Events(1, 4) + kLastChunk;
    answer.rest_after = std::chrono::milliseconds(300);
    return answer;
  });
  EngineHost host({&server});
  std::thread lister([&] {
    EXPECT_TRUE(Eventually([&] { return server.requests().size() == 1; }));
    host.ListServers({});
  });
  const CallerAnswer answer =
      host.Call(EngineHost::Request("/gen/", "Zinniastep-Model: *\r\n"));
  lister.join();
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body, WholeStream());
}

}  // namespace
}  // namespace zinniastep::testing
