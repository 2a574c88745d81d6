#include <chrono>
#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "tests/traffic/answer_texts.h"
#include "tests/traffic/gateway_process.h"
#include "tests/traffic/raw_caller.h"

namespace zinniastep::testing {
namespace {

using std::chrono::seconds;

constexpr std::size_t kDeep = 100000;

auto Replaced(std::string text, const std::string& from, const std::string& to)
    -> std::string {
  return text.replace(text.find(from), from.size(), to);
}

auto OddEntries(const std::string& address) -> std::vector<std::string> {
  const std::string good = GatewayProcess::ServerEntry("odd", address).dump();
  return {Replaced(good, R"("born")",
                   R"("more":)" + std::string(kDeep, '[') +
                       std::string(kDeep, ']') + R"(,"born")"),
          Replaced(good, R"("ColdLeftMs":0)", R"("ColdLeftMs":1e999)"),
          Replaced(good, R"("Slots":8)", R"("Slots":1e300)"),
          Replaced(good, R"("Revision":2)", R"("Revision":"2")"),
          Replaced(good, "Metadata", "Motadata"),
          Replaced(good, address, "127.0.0.1:99999")};
}

TEST(GatewayOddEntryTest, AnOddEntryNeitherEndsNorBlindsTheGateway) {
  const ScriptedServer server([](const std::string&) -> ScriptedAnswer {
    return {Answer("200 OK", "", "done")};
  });
  for (const std::string& odd : OddEntries(server.address())) {
    StoreContents contents = GatewayProcess::Contents({server.address()});
    contents.servers = Replaced(contents.servers, "]", "," + odd + "]");
    GatewayProcess gateway(std::move(contents));
    EXPECT_TRUE(gateway.WaitForLog("unreadable", seconds(5)))
        << odd.substr(0, 300);
    ASSERT_TRUE(gateway.WaitUntilServing()) << odd.substr(0, 300);
    for (int i = 0; i < 4; ++i) {
      RawCaller caller(gateway.callers());
      caller.Send(
          "POST /once/ HTTP/1.1\r\nHost: x.example\r\n"
          "Zinniastep-Attempt-Id: a1\r\nContent-Length: 1\r\n\r\nx");
      EXPECT_EQ(caller.ReadAnswer(seconds(3)).status, 200);
    }
    gateway.child().Signal(SIGTERM);
    EXPECT_EQ(gateway.child().Wait(seconds(5)), 0);
  }
}

}  // namespace
}  // namespace zinniastep::testing
