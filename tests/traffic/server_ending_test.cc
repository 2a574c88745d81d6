#include <string>

#include <gtest/gtest.h>

#include "tests/process/child_process.h"
#include "tests/traffic/answer_texts.h"
#include "tests/traffic/engine_host.h"
#include "tests/traffic/scripted_server.h"

namespace zinniastep::testing {
namespace {

// Calls a host whose only server answers like this, and returns the servers
// that the host then reports as ended.
auto EndedServers(const ScriptedAnswer& answer) -> std::vector<std::string> {
  const ScriptedServer server([&](const std::string&) { return answer; });
  EngineHost host({&server});
  (void)host.Call(EngineHost::Request("/single/"));
  while (host.Counted("server_probes_refused") +
             host.Counted("server_probes_accepted") ==
         0) {
    PauseBetweenLooks();
  }
  return host.Logged("server_ended", "server");
}

TEST(ServerEnding, IsReportedWhenNothingListensAnyMore) {
  ScriptedAnswer answer{StreamHead()};
  answer.end_for = std::chrono::seconds(30);
  EXPECT_EQ(EndedServers(answer), std::vector<std::string>{"s0"});
}

TEST(ServerEnding, IsNotReportedForAClosedConnection) {
  EXPECT_TRUE(EndedServers({StreamHead(), true}).empty());
}

}  // namespace
}  // namespace zinniastep::testing
