#include <chrono>
#include <functional>
#include <memory>
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

auto Hello(const std::string&) -> ScriptedAnswer {
  return {
      "HTTP/1.1 200 OK\r\nZinniastep-Attempt-Id: a1\r\n"
      "Zinniastep-Server-Signature: s\r\nContent-Length: 2\r\n\r\nhi"};
}

auto IdleLimit(std::chrono::milliseconds time) -> CallerLimits {
  CallerLimits limits;
  limits.idle_timeout = time;
  return limits;
}

TEST(ViewChange, AKeptConnectionTakesBodiesThatTheNewLimitsAllow) {
  const ScriptedServer server(Hello);
  EngineHost host({&server});
  CallerLimits limits;
  limits.body_bytes = 10;
  host.LimitCallers(limits);
  const auto answers = host.CallInTurn(
      {EngineHost::Request("/idem/"),
       EngineHost::Request("/idem/", "", std::string(100, 'b'))},
      [&] { host.LimitCallers(CallerLimits()); });
  EXPECT_EQ(answers[0].status, 200);
  EXPECT_EQ(answers[1].status, 200);
}

TEST(ViewChange, AKeptConnectionStaysOpenForTheNewIdleTimeout) {
  const ScriptedServer server(Hello);
  EngineHost host({&server});
  host.LimitCallers(IdleLimit(std::chrono::milliseconds(300)));
  const auto answers = host.CallInTurn(
      {EngineHost::Request("/idem/"), EngineHost::Request("/idem/")}, [&] {
        host.LimitCallers(IdleLimit(std::chrono::seconds(10)));
        std::this_thread::sleep_for(std::chrono::milliseconds(700));
      });
  EXPECT_EQ(answers[0].status, 200);
  EXPECT_EQ(answers[1].status, 200);
}

auto TakeServicesAway(TrafficView& view) -> void {
  std::vector<ForwardingRoute> routes = view.policy->routes();
  for (ForwardingRoute& route : routes) {
    route.split.clear();
  }
  view.policy = std::make_shared<const TrafficPolicy>(
      2, std::move(routes), view.policy->services(), view.policy->access(),
      CallerLimits());
}

TEST(ViewChange, ARouteWhoseServiceWasTakenAwayRefusesAtOnce) {
  const ScriptedServer server(Hello);
  EngineHost host({&server});
  const auto answers = host.CallInTurn(
      {EngineHost::Request("/idem/"), EngineHost::Request("/idem/")},
      [&] { host.ChangeView(&TakeServicesAway); });
  EXPECT_EQ(answers[0].status, 200);
  EXPECT_EQ(answers[1].status, 503);
  EXPECT_NE(HeaderOf(answers[1].head, "Retry-After"), "");
  EXPECT_EQ(host.Logged("request_over", "outcome").back(), "no_service");
  EXPECT_EQ(server.requests().size(), 1U);
}

constexpr char kWhole[] = "id: 1\ndata: t\n\nid: 2\ndata: t\n\n";

auto StreamHead() -> std::string {
  return "HTTP/1.1 200 OK\r\nZinniastep-Attempt-Id: a1\r\n"
         "Zinniastep-Server-Signature: s\r\nContent-Type: "
         "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

auto EventChunk(int id) -> std::string {
  return "f\r\nid: " + std::to_string(id) + "\ndata: t\n\n\r\n";
}

// Begins its answer, or only takes the request, and goes on half a second
// later.
auto Later(const std::string& first, const std::string& rest)
    -> ScriptedAnswer {
  ScriptedAnswer answer{first};
  answer.rest = rest;
  answer.rest_after = std::chrono::milliseconds(500);
  return answer;
}

// Returns the answer to a request under which `change` is made to the view once
// a server has it.
auto CallAcross(EngineHost& host,
                const ScriptedServer& server,
                const std::string& path,
                const std::function<void(TrafficView&)>& change)
    -> CallerAnswer {
  std::thread changer([&] {
    EXPECT_TRUE(Eventually([&] { return server.requests().size() == 1; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    host.ChangeView(change);
  });
  CallerAnswer answer = host.Call(EngineHost::Request(path));
  changer.join();
  return answer;
}

auto DropAll(TrafficView& view) -> void {
  view = TrafficView();
}

auto DropServers(TrafficView& view) -> void {
  view.backends.clear();
}

auto RestartServers(TrafficView& view) -> void {
  for (UsableBackend& backend : view.backends) {
    backend.entry.started += 1;
  }
}

class ViewChangeUnderARequest
    : public ::testing::TestWithParam<void (*)(TrafficView&)> {};

INSTANTIATE_TEST_SUITE_P(Changes,
                         ViewChangeUnderARequest,
                         ::testing::Values(&DropAll,
                                           &DropServers,
                                           &RestartServers));

TEST_P(ViewChangeUnderARequest, ASentRequestIsAnswered) {
  const std::string whole =
      "HTTP/1.1 200 OK\r\nZinniastep-Attempt-Id: a1\r\n"
      "Zinniastep-Server-Signature: s\r\nContent-Length: 2\r\n\r\nhi";
  for (const char* path : {"/once/", "/idem/", "/quick/"}) {
    const ScriptedServer server(
        [&](const std::string&) { return Later("", whole); });
    EngineHost host({&server});
    const CallerAnswer answer = CallAcross(host, server, path, GetParam());
    EXPECT_EQ(answer.status, 200) << path;
    EXPECT_EQ(answer.body, "hi") << path;
  }
}

TEST_P(ViewChangeUnderARequest, AnAnswerWhoseHeadCameIsWhole) {
  const ScriptedServer server([](const std::string&) {
    return Later(
        "HTTP/1.1 200 OK\r\nZinniastep-Attempt-Id: a1\r\n"
        "Zinniastep-Server-Signature: s\r\nContent-Length: 2\r\n\r\nh",
        "i");
  });
  EngineHost host({&server});
  const CallerAnswer answer = CallAcross(host, server, "/once/", GetParam());
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body, "hi");
}

TEST_P(ViewChangeUnderARequest, AStreamMidwayIsWhole) {
  const ScriptedServer server([](const std::string&) {
    return Later(StreamHead() + EventChunk(1), EventChunk(2) + "0\r\n\r\n");
  });
  EngineHost host({&server});
  const CallerAnswer answer = CallAcross(host, server, "/stall/", GetParam());
  EXPECT_TRUE(answer.whole);
  EXPECT_EQ(answer.body, kWhole);
}

TEST_P(ViewChangeUnderARequest, AResumedStreamIsWhole) {
  const auto script = [](const std::string& request) {
    if (HeaderOf(request, "Last-Event-Id").empty()) {
      ScriptedAnswer broken{StreamHead() + EventChunk(1)};
      broken.close = true;
      return broken;
    }
    return Later(StreamHead(), EventChunk(2) + "0\r\n\r\n");
  };
  const ScriptedServer first(script);
  const ScriptedServer second(script);
  EngineHost host({&first, &second});
  const CallerAnswer answer = CallAcross(host, second, "/stall/", GetParam());
  EXPECT_TRUE(answer.whole);
  EXPECT_EQ(answer.body, kWhole);
}

TEST(ViewChange, AWaitingRequestIsSentToAServerThatIsListedLater) {
  const ScriptedServer server(Hello);
  EngineHost host(ServerAddresses{});
  std::thread lister([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    host.ListServers({{server.address()}});
  });
  const CallerAnswer answer = host.Call(EngineHost::Request("/once/"));
  lister.join();
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(server.requests().size(), 1U);
}

TEST(ViewChange, AnIdleConnectionIsClosedAfterTheIdleTimeout) {
  const ScriptedServer server(Hello);
  EngineHost host({&server});
  host.LimitCallers(IdleLimit(std::chrono::milliseconds(300)));
  const auto answers = host.CallInTurn(
      {EngineHost::Request("/idem/"), EngineHost::Request("/idem/")},
      [] { std::this_thread::sleep_for(std::chrono::milliseconds(700)); });
  EXPECT_EQ(answers[0].status, 200);
  EXPECT_EQ(answers[1].status, 0);
}

}  // namespace
}  // namespace zinniastep::testing
