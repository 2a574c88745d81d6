#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/process/child_process.h"
#include "tests/traffic/answer_texts.h"
#include "tests/traffic/engine_host.h"
#include "tests/traffic/scripted_server.h"

namespace zinniastep::testing {
namespace {

constexpr std::chrono::milliseconds kRunTime{40};
constexpr std::chrono::milliseconds kDownTime{400};

// Servers that end as soon as they begin an answer to a prompt with the part
// "bad". The other parts are answered.
class CrashingPartTest : public ::testing::Test {
 protected:
  CrashingPartTest() {
    for (int index = 0; index < 8; ++index) {
      servers_.push_back(
          std::make_unique<ScriptedServer>([](const std::string& request) {
            ScriptedAnswer answer;
            if (HeaderOf(request, "Zinniastep-Prompt-Prefix").find("slow:") !=
                std::string::npos) {
              answer.hang = true;
              return answer;
            }
            answer.bytes = StreamHead();
            if (request.ends_with("deadly")) {
              answer.end_after = kRunTime;
              answer.end_for = kDownTime;
              return answer;
            }
            if (HeaderOf(request, "Zinniastep-Prompt-Prefix").find("bad:") !=
                std::string::npos) {
              answer.end_after = kRunTime;
              answer.end_for = kDownTime;
              return answer;
            }
            answer.bytes += Chunk(Event(1)) + kLastChunk;
            return answer;
          }));
    }
    std::vector<const ScriptedServer*> servers;
    for (const auto& server : servers_) {
      servers.push_back(server.get());
    }
    host_ = std::make_unique<EngineHost>(servers);
  }

  // Calls with a prompt of these parts and one of its own.
  auto Call(const std::string& parts) -> CallerAnswer {
    const std::string own = std::to_string(++calls_);
    return host_->Call(EngineHost::Request(
        "/stall/", "Zinniastep-Prompt-Prefix: " + parts + ",e" + own +
                       ":9\r\nZinniastep-Token-Count: 100,10\r\n"));
  }

  [[nodiscard]] auto Endings() const -> int {
    int endings = 0;
    for (const auto& server : servers_) {
      endings += server->endings();
    }
    return endings;
  }

  std::vector<std::unique_ptr<ScriptedServer>> servers_;
  std::unique_ptr<EngineHost> host_;
  int calls_ = 0;
};

TEST_F(CrashingPartTest, RequestsWithThePartStopReachingServers) {
  for (int round = 0; round < 10; ++round) {
    (void)Call("aa:50,bb:20,bad:5");
    EXPECT_EQ(Call("aa:50,c" + std::to_string(round) + ":20").status, 200);
  }
  EXPECT_LE(Endings(), 5);
  const CallerAnswer refused = Call("aa:50,bb:20,bad:5");
  EXPECT_EQ(refused.status, 503);
  EXPECT_NE(refused.head.find("Retry-After"), std::string::npos);
  // Beside another part, a request may yet show which of the two it is.
  (void)Call("aa:50,dd:20,bad:5");
  EXPECT_EQ(Call("aa:50,ee:20,bad:5").status, 503);
  EXPECT_LE(Endings(), 5 + 3);
}

TEST_F(CrashingPartTest, RequestsThatShareTheOtherPartsAreServed) {
  for (int round = 0; round < 6; ++round) {
    (void)Call("aa:50,bb:20,bad:5");
  }
  EXPECT_EQ(Call("aa:50").status, 200);
  EXPECT_EQ(Call("aa:50,bb:20").status, 200);
  EXPECT_EQ(Call("bad:5,bb:20,aa:50").status, 503);
}

TEST_F(CrashingPartTest, RequestsThatWaitAtAServerAreWithdrawn) {
  auto waiting = std::async(std::launch::async, [this] {
    return host_->Call(EngineHost::Request(
        "/gen/", "Zinniastep-Prompt-Prefix: aa:50,bb:20,bad:5,slow:1,e:9\r\n"));
  });
  while (host_->Logged("request_sent", "request").empty()) {
    PauseBetweenLooks();
  }
  for (int round = 0; round < 4; ++round) {
    (void)Call("aa:50,bb:20,bad:5");
  }
  // Its own deadline is 15 s.
  ASSERT_EQ(waiting.wait_for(std::chrono::seconds(8)),
            std::future_status::ready);
  EXPECT_EQ(waiting.get().status, 502);
}

// A request whose caller sends it again under new ids, while all parts of its
// prompt are answered in other requests.
TEST_F(CrashingPartTest, ARequestThatEndsServersIsNotSentAgainAndAgain) {
  for (const std::string path : {"/stall/", "/once/"}) {
    const int before = Endings();
    const std::string parts = "Zinniastep-Prompt-Prefix: aa:50,bb:20,e" +
                              path.substr(1, 1) + ":9\r\n";
    for (int round = 0; round < 8; ++round) {
      std::string request = EngineHost::Request(path, parts, "deadly");
      request.replace(request.find("a1\r\n"), 2, "r" + std::to_string(round));
      (void)host_->Call(request);
      EXPECT_EQ(Call("aa:50,bb:20").status, 200);
    }
    EXPECT_EQ(Endings() - before, 3) << path;
    const CallerAnswer refused =
        host_->Call(EngineHost::Request(path, parts, "deadly"));
    EXPECT_EQ(refused.status, 503) << path;
    EXPECT_NE(HeaderOf(refused.head, "Retry-After"), "") << path;
    EXPECT_EQ(host_->Call(EngineHost::Request("/once/", parts)).status, 200);
  }
}

}  // namespace
}  // namespace zinniastep::testing
