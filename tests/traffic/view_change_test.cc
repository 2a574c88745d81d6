#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

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
