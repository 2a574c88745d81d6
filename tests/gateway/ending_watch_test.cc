#include "libzinniastep/gateway/ending_watch.h"

#include <gtest/gtest.h>

#include "libzinniastep/gateway/prompt_shape.h"

namespace zinniastep {
namespace {

const BackendServerId kServer("s1");

TEST(EndingWatch, SendsThatBreakDuringAProbeAreReportedWithTheFirst) {
  EndingWatch watch;
  EXPECT_TRUE(watch.OnBroken(kServer, UnansweredSend{1, {7}, {}, {}}));
  EXPECT_FALSE(watch.OnBroken(kServer, std::nullopt));
  EXPECT_FALSE(watch.OnBroken(kServer, UnansweredSend{2, {8}, {}, {}}));
  const auto broken = watch.OnProbe(kServer, ProbeResult::kRefused);
  ASSERT_TRUE(broken.has_value());
  EXPECT_EQ(broken->answered, 1U);
  ASSERT_EQ(broken->unanswered.size(), 2U);
  EXPECT_EQ(broken->unanswered[1].request, 2U);
  EXPECT_TRUE(watch.OnBroken(kServer, std::nullopt));
}

TEST(EndingWatch, AServerThatListensOrCannotBeReachedHasNotEnded) {
  for (const ProbeResult result :
       {ProbeResult::kAccepted, ProbeResult::kNoAnswer}) {
    EndingWatch watch;
    (void)watch.OnBroken(kServer, UnansweredSend{1, {7}, {}, {}});
    EXPECT_FALSE(watch.OnProbe(kServer, result).has_value());
    EXPECT_FALSE(watch.OnProbe(kServer, ProbeResult::kRefused).has_value());
  }
}

TEST(EndingWatch, KeepsABoundedNumberOfSends) {
  EndingWatch watch;
  for (std::uint64_t request = 0; request < 1000; ++request) {
    (void)watch.OnBroken(kServer, UnansweredSend{request, {7}, {}, {}});
  }
  const auto broken = watch.OnProbe(kServer, ProbeResult::kRefused);
  ASSERT_TRUE(broken.has_value());
  EXPECT_LE(broken->unanswered.size(), 32U);
}

TEST(PromptShape, SharedPartsAreAllButTheLast) {
  const PromptShape shape =
      ReadPromptShape("5c1e07a2:800, 91BD3F06:410,e4402b7d:250", "1460,80");
  EXPECT_EQ(ToText(shape.shared_parts), "5c1e07a2,91bd3f06");
  EXPECT_TRUE(ReadPromptShape("5c1e07a2:800", "").shared_parts.empty());
}

TEST(PromptShape, KeepsABoundedNumberOfParts) {
  std::string text;
  for (int part = 0; part < 1000; ++part) {
    text += "a" + std::to_string(part) + ":1,";
  }
  EXPECT_EQ(ReadPromptShape(text, "").shared_parts.size(), kMaxSharedParts);
}

TEST(PromptPart, NamesThatAreNoHexadecimalNumberDiffer) {
  EXPECT_NE(ReadPromptPartId("intro"), ReadPromptPartId("outro"));
  EXPECT_NE(ReadPromptPartId("11112222333344445"),
            ReadPromptPartId("1111222233334444"));
  EXPECT_EQ(ReadPromptPartId("00ff"), ReadPromptPartId("FF"));
}

}  // namespace
}  // namespace zinniastep
