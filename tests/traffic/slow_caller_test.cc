#include <chrono>
#include <sstream>
#include <string>

#include <gtest/gtest.h>

#include "tests/traffic/engine_host.h"
#include "tests/traffic/scripted_server.h"

namespace zinniastep::testing {
namespace {

constexpr int kEvents = 1600;
constexpr std::size_t kEventBytes = 10'000;

auto Event(int id) -> std::string {
  return "id: " + std::to_string(id) +
         "\ndata: " + std::string(kEventBytes, 'x') + "\n\n";
}

// A stream that is longer than the buffers on its way to the caller.
auto LongStream(const std::string& request) -> ScriptedAnswer {
  const std::string last = HeaderOf(request, "Last-Event-Id");
  std::ostringstream answer;
  answer << "HTTP/1.1 200 OK\r\nZinniastep-Attempt-Id: a1\r\n"
            "Zinniastep-Server-Signature: s\r\nContent-Type: "
            "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int id = last.empty() ? 1 : std::stoi(last) + 1; id <= kEvents; ++id) {
    const std::string event = Event(id);
    answer << std::hex << event.size() << std::dec << "\r\n" << event << "\r\n";
  }
  answer << "0\r\n\r\n";
  return {answer.str()};
}

TEST(SlowCaller, AStreamStaysAtItsServerWhileTheCallerReadsNothing) {
  const ScriptedServer first(LongStream);
  const ScriptedServer second(LongStream);
  EngineHost host({&first, &second});
  const CallerAnswer answer = host.CallAndPause(
      EngineHost::Request("/stall/"), std::chrono::milliseconds(2500));
  EXPECT_TRUE(answer.whole);
  EXPECT_EQ(first.requests().size() + second.requests().size(), 1U);
  EXPECT_TRUE(host.Logged("overdue_attempt_moved", "overdue").empty());
}

}  // namespace
}  // namespace zinniastep::testing
