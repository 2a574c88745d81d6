#include "libzinniastep/traffic/held_bytes.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>

#include "libzinniastep/traffic/held_share.h"
#include "tests/process/child_process.h"
#include "tests/traffic/answer_texts.h"
#include "tests/traffic/engine_host.h"
#include "tests/traffic/raw_caller.h"
#include "tests/traffic/scripted_server.h"

namespace zinniastep::testing {
namespace {

constexpr std::size_t kLimit = std::size_t{8} << 20U;
// One read of each connection, and a whole answer that is handed on.
constexpr std::size_t kMargin = std::size_t{2} << 20U;
constexpr int kCallers = 40;
constexpr std::size_t kPartSize = 900'000;

TEST(HeldBytes, TheLargestSharesEndUntilTheLimitIsKept) {
  boost::asio::io_context io;
  const auto held = std::make_shared<HeldBytes>(io, 100);
  std::vector<int> ended;
  std::vector<std::unique_ptr<HeldShare>> shares;
  for (int index = 0; index < 5; ++index) {
    shares.push_back(std::make_unique<HeldShare>(
        held, [&ended, index] { ended.push_back(index); }));
    shares.back()->Set(10 * (static_cast<std::size_t>(index) + 1));
  }
  io.run();
  EXPECT_EQ(ended, std::vector<int>{4});
  EXPECT_EQ(held->total(), 100U);
  EXPECT_TRUE(held->is_scarce());
  shares[0]->Set(61);
  io.restart();
  io.run();
  EXPECT_EQ(ended, (std::vector<int>{4, 0}));
  shares.clear();
  EXPECT_EQ(held->total(), 0U);
  EXPECT_EQ(held->ended(), 2U);
}

struct UnfinishedExchange {
  const char* name;
  // What the server sends of an answer that does not end.
  std::string part;
  std::size_t request_bytes = 1;
};

// Each request may hold about a mebibyte, and there are more of them than fit.
TEST(HeldBytes, ManyRequestsThatHoldMuchDoNotExhaustTheHost) {
  const std::string stuff(kPartSize, 'z');
  const std::string length = "Content-Length: 1000000\r\n\r\n";
  const std::vector<UnfinishedExchange> exchanges = {
      {"failure's body",
       "HTTP/1.1 500 Oh\r\nZinniastep-Attempt-Id: a1\r\n" + length + stuff},
      {"plain answer",
       "HTTP/1.1 200 OK\r\nZinniastep-Attempt-Id: a1\r\n" + length + stuff},
      {"event", StreamHead() + Chunk("data: " + stuff.substr(0, 250'000))},
      {"request", "", kPartSize}};
  for (const UnfinishedExchange& exchange : exchanges) {
    const ScriptedServer server([&exchange](const std::string& request) {
      if (HeaderOf(request, "X-Sound") == "1") {
        return ScriptedAnswer{Answer("200 OK", "", "hi")};
      }
      ScriptedAnswer answer{exchange.part};
      answer.hang = true;
      return answer;
    });
    EngineHost host({&server}, {}, kLimit);
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int index = 0; index < kCallers; ++index) {
      callers.push_back(std::make_unique<RawCaller>(
          "127.0.0.1:" + std::to_string(host.port())));
      callers.back()->Send(EngineHost::Request(
          "/gen/", "", std::string(exchange.request_bytes, 'b')));
    }
    EXPECT_TRUE(Eventually([&host] { return host.HeldPeak() > kLimit / 2; }))
        << exchange.name;
    for (int call = 0; call < 5; ++call) {
      EXPECT_EQ(
          host.Call(EngineHost::Request("/once/", "X-Sound: 1\r\n")).status,
          200)
          << exchange.name;
    }
    EXPECT_LE(host.HeldPeak(), kLimit + kMargin) << exchange.name;
  }
}

}  // namespace
}  // namespace zinniastep::testing
