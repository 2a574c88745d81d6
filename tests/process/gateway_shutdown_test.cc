#include <atomic>
#include <chrono>
#include <csignal>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/traffic/answer_texts.h"
#include "tests/traffic/gateway_process.h"
#include "tests/traffic/raw_caller.h"

namespace zinniastep::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kGrace(GatewayProcess::kShutdownSeconds);

auto Request(const std::string& path, int left_ms = 20000) -> std::string {
  return "POST " + path +
         " HTTP/1.1\r\nHost: x.example\r\nZinniastep-Attempt-Id: a1\r\n"
         "Zinniastep-Time-Remaining-Ms: " +
         std::to_string(left_ms) + "\r\nContent-Length: 1\r\n\r\nx";
}

// Answers paths that end with "now" at once and keeps others waiting.
auto AnswerOnlyNow(const std::string& request) -> ScriptedAnswer {
  if (request.find("now HTTP/") != std::string::npos) {
    return {Answer("200 OK", "", "done")};
  }
  return {"", false, true};
}

auto RetryAfter(const CallerAnswer& answer) -> double {
  const std::string text = HeaderOf(answer.head, "Retry-After");
  return text.empty() ? -1.0 : std::stod(text);
}

class GatewayShutdownTest : public ::testing::Test {
 protected:
  GatewayShutdownTest() { EXPECT_TRUE(gateway_.WaitUntilServing()); }

  auto Stop() -> void {
    signalled_ = std::chrono::steady_clock::now();
    gateway_.child().Signal(SIGTERM);
    ASSERT_TRUE(gateway_.WaitForLog("shutdown_begins", seconds(2)));
  }
  auto SinceSignal() const -> milliseconds {
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - signalled_);
  }
  auto ExpectCleanEnd() -> void {
    EXPECT_EQ(gateway_.child().Wait(kGrace + seconds(2)), 0);
    EXPECT_LE(SinceSignal(), kGrace);
  }

  ScriptedServer server_{AnswerOnlyNow};
  GatewayProcess gateway_{GatewayProcess::Contents({server_.address()})};
  std::chrono::steady_clock::time_point signalled_;
};

TEST_F(GatewayShutdownTest, ARequestAtItsServerIsToldThatItsOutcomeIsUnknown) {
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (const char* path : {"/once/", "/idem/", "/gen/"}) {
    callers.push_back(std::make_unique<RawCaller>(gateway_.callers()));
    callers.back()->Send(Request(path));
  }
  ASSERT_TRUE(Eventually([this] { return server_.requests().size() == 3; }));
  Stop();
  for (const auto& caller : callers) {
    const CallerAnswer answer = caller->ReadAnswer(kGrace + seconds(1));
    EXPECT_EQ(answer.status, 502);
    EXPECT_TRUE(answer.whole);
  }
  EXPECT_GE(SinceSignal(), kGrace - milliseconds(600));
  ExpectCleanEnd();
}

TEST_F(GatewayShutdownTest, AStreamThatIsUnderWayBreaksOffAtTheEnd) {
  ScriptedServer server([](const std::string&) -> ScriptedAnswer {
    return {StreamHead() + Chunk(Event(1)), false, true};
  });
  GatewayProcess gateway(GatewayProcess::Contents({server.address()}));
  ASSERT_TRUE(gateway.WaitUntilServing());
  RawCaller caller(gateway.callers());
  caller.Send(Request("/gen/"));
  ASSERT_TRUE(Eventually([&server] { return !server.requests().empty(); }));
  gateway.child().Signal(SIGTERM);
  const CallerAnswer answer = caller.ReadAnswer(kGrace + seconds(1));
  EXPECT_EQ(answer.status, 200);
  EXPECT_FALSE(answer.whole);
  EXPECT_TRUE(gateway.WaitForLog("outcome=cut_by_shutdown", milliseconds(500)));
}

TEST_F(GatewayShutdownTest, ARequestThatCannotFinishIsHandedOverAtOnce) {
  Stop();
  for (const char* path : {"/once/", "/idem/", "/gen/"}) {
    RawCaller caller(gateway_.callers());
    caller.Send(Request(path));
    const CallerAnswer answer = caller.ReadAnswer(milliseconds(500));
    EXPECT_EQ(answer.status, 503) << path;
    EXPECT_GE(RetryAfter(answer), 0.0);
    EXPECT_LE(RetryAfter(answer), 0.1);
    EXPECT_EQ(HeaderOf(answer.head, "Connection"), "close");
  }
  EXPECT_TRUE(server_.requests().empty());
  ExpectCleanEnd();
}

TEST_F(GatewayShutdownTest, ARequestThatCanFinishIsServedDuringTheStop) {
  RawCaller before(gateway_.callers());
  before.Send(Request("/once/now"));
  EXPECT_EQ(before.ReadAnswer(seconds(2)).status, 200);
  Stop();
  RawCaller usual(gateway_.callers());
  usual.Send(Request("/once/now"));
  EXPECT_EQ(usual.ReadAnswer(seconds(2)).status, 200);
  RawCaller short_deadline(gateway_.callers());
  short_deadline.Send(Request("/idem/now", 1000));
  EXPECT_EQ(short_deadline.ReadAnswer(seconds(2)).status, 200);
  ExpectCleanEnd();
}

TEST_F(GatewayShutdownTest, ABodyThatIsStillComingInIsRefusedAsNotRun) {
  RawCaller caller(gateway_.callers());
  std::string half = Request("/once/");
  half.pop_back();
  caller.Send(half);
  Stop();
  const CallerAnswer answer = caller.ReadAnswer(kGrace);
  EXPECT_EQ(answer.status, 503);
  EXPECT_TRUE(server_.requests().empty());
  ExpectCleanEnd();
}

TEST_F(GatewayShutdownTest, AKeptConnectionIsToldToGoElsewhere) {
  RawCaller caller(gateway_.callers());
  caller.Send(Request("/once/now"));
  EXPECT_EQ(caller.ReadAnswer(seconds(2)).status, 200);
  Stop();
  caller.Send(Request("/once/now"));
  const CallerAnswer answer = caller.ReadAnswer(seconds(2));
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(HeaderOf(answer.head, "Connection"), "close");
  ExpectCleanEnd();
}

TEST_F(GatewayShutdownTest, FurtherSignalsNeitherShortenNorLengthenTheStop) {
  RawCaller caller(gateway_.callers());
  caller.Send(Request("/once/"));
  ASSERT_TRUE(Eventually([this] { return server_.requests().size() == 1; }));
  Stop();
  for (const int signal : {SIGHUP, SIGTERM, SIGINT, SIGTERM, SIGHUP}) {
    gateway_.child().Signal(signal);
  }
  EXPECT_EQ(caller.ReadAnswer(kGrace + seconds(1)).status, 502);
  EXPECT_GE(SinceSignal(), kGrace - milliseconds(600));
  ExpectCleanEnd();
}

TEST_F(GatewayShutdownTest, AnIdleStopEndsEarly) {
  Stop();
  EXPECT_EQ(gateway_.child().Wait(kGrace), 0);
  EXPECT_LE(SinceSignal(), seconds(2));
}

TEST(GatewayShutdown, ARequestThatWaitsForAServerIsRefusedAsNotRun) {
  GatewayProcess gateway(GatewayProcess::Contents({"127.0.0.1:1"}));
  ASSERT_TRUE(gateway.WaitUntilServing());
  gateway.child().Signal(SIGTERM);
  RawCaller caller(gateway.callers());
  caller.Send(Request("/once/", 2000));
  EXPECT_EQ(caller.ReadAnswer(kGrace).status, 503);
  EXPECT_EQ(gateway.child().Wait(kGrace + seconds(1)), 0);
}

TEST_F(GatewayShutdownTest, StopsThatOverlapHandOverTruthfully) {
  GatewayProcess other(GatewayProcess::Contents({server_.address()}));
  ASSERT_TRUE(other.WaitUntilServing());
  Stop();
  other.child().Signal(SIGTERM);
  ASSERT_TRUE(other.WaitForLog("shutdown_begins", seconds(2)));
  for (const std::string& address : {gateway_.callers(), other.callers()}) {
    RawCaller caller(address);
    caller.Send(Request("/once/"));
    EXPECT_EQ(caller.ReadAnswer(milliseconds(500)).status, 503);
  }
  EXPECT_TRUE(server_.requests().empty());
  ExpectCleanEnd();
}

}  // namespace
}  // namespace zinniastep::testing
