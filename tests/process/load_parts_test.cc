#include <gtest/gtest.h>

#include "zinniastep-load/answer_reader.h"
#include "zinniastep-load/latency_histogram.h"
#include "zinniastep-load/workload.h"
#include "zinniastep-standin/answer_text.h"

namespace zinniastep::load {
namespace {

auto StreamedCall(const CallKind& kind) -> PlannedCall {
  PlannedCall call;
  call.kind = &kind;
  call.stream = true;
  call.prompt = "why";
  return call;
}

auto Event(int number, int count) -> std::string {
  return R"(data: {"choices":[{"delta":{"content":")" +
         standin::TokenText(standin::ShortDigest("why\n"),
                            standin::ShortDigest("1"), number, count) +
         "\"}}]}\n\n";
}

auto Result(int status, bool complete) -> HttpResult {
  HttpResult result;
  result.sent = true;
  result.complete = complete;
  result.status = static_cast<std::uint16_t>(status);
  return result;
}

TEST(LoadPartsTest, ACutOrCrossedStreamIsNoAnswer) {
  const CallKind kind;
  const PlannedCall call = StreamedCall(kind);
  const std::string whole = Event(0, 2) + Event(1, 2) + "data: [DONE]\n\n";
  EXPECT_EQ(JudgeTry(call, Result(200, true), whole).outcome, "answered");
  EXPECT_EQ(JudgeTry(call, Result(200, false), whole).outcome, "no_answer");
  const std::string without_end = Event(0, 2) + Event(1, 2);
  EXPECT_EQ(JudgeTry(call, Result(200, true), without_end).outcome,
            "wrong_answer");
  const std::string repeated = Event(0, 2) + Event(0, 2) + "data: [DONE]\n\n";
  EXPECT_EQ(JudgeTry(call, Result(200, true), repeated).outcome,
            "wrong_answer");
}

TEST(LoadPartsTest, ARefusalSaysWhetherItRan) {
  const CallKind kind;
  const PlannedCall call = StreamedCall(kind);
  EXPECT_EQ(JudgeTry(call, Result(503, true),
                     R"({"error":{"code":"busy","run_state":"not_run"}})")
                .outcome,
            "not_run");
  EXPECT_EQ(JudgeTry(call, Result(200, true),
                     Event(0, 2) +
                         "data: {\"error\":{\"code\":\"lost\",\"run_state\":"
                         "\"unknown\"}}\n\n")
                .outcome,
            "unknown");
  EXPECT_EQ(JudgeTry(call, Result(503, true), "gateway").outcome,
            "bad_refusal");
  HttpResult unreachable = Result(0, false);
  unreachable.sent = false;
  EXPECT_EQ(JudgeTry(call, unreachable, "").outcome, "unreachable");
}

TEST(LoadPartsTest, TheSameSeedGivesTheSameCalls) {
  const auto profile = FindProfile("coopline", "", "");
  ASSERT_TRUE(profile.ok());
  Workload first(*profile, 100, 7);
  Workload second(*profile, 100, 7);
  for (int i = 0; i < 500; ++i) {
    const PlannedCall a = first.Next();
    const PlannedCall b = second.Next();
    EXPECT_EQ(a.at, b.at);
    EXPECT_EQ(a.body, b.body);
    EXPECT_EQ(a.idempotency_key.empty(), a.kind->idempotent);
  }
}

TEST(LoadPartsTest, AShareOfTheChatsIsMarked) {
  auto profile = FindProfile("coopline", "", "");
  ASSERT_TRUE(profile.ok());
  profile->mark = "bad";
  profile->marked_share = 0.25;
  Workload workload(*profile, 100, 7);
  int chats = 0;
  int marked = 0;
  for (int i = 0; i < 2000; ++i) {
    const PlannedCall call = workload.Next();
    const bool is_marked = call.prompt.starts_with("bad ");
    EXPECT_TRUE(call.kind->service.empty() || !is_marked);
    chats += call.kind->service.empty() ? 1 : 0;
    marked += is_marked ? 1 : 0;
  }
  EXPECT_NEAR(marked, chats / 4.0, 100);
}

TEST(LoadPartsTest, QuantilesAreWithinABin) {
  LatencyHistogram histogram;
  for (int i = 1; i <= 1000; ++i) {
    histogram.Add(i);
  }
  EXPECT_NEAR(histogram.Quantile(0.5), 500, 15);
  EXPECT_NEAR(histogram.Quantile(0.99), 990, 25);
  EXPECT_EQ(LatencyHistogram().Quantile(0.5), 0);
}

}  // namespace
}  // namespace zinniastep::load
