#include "libzinniastep/gateway/answer_clock.h"

#include <array>

#include <gtest/gtest.h>

#include "tests/support/gateway_samples.h"

namespace zinniastep::testing {
namespace {

using Counts = std::array<std::uint32_t, kDelaySteps>;

class AnswerClockTest : public ::testing::Test {
 protected:
  auto Begin(std::int64_t at) -> AnswerClock::SendId {
    return clock_.Begin(At(at), key_, std::chrono::milliseconds(100));
  }

  const VersionKey key_{ServiceId("pool"), "v2", "r"};
  VersionEvidence evidence_;
  AnswerClock clock_{evidence_};
};

TEST_F(AnswerClockTest, ASendUnderWayCountsForTheStepsItHasPassed) {
  Begin(0);
  clock_.Advance(At(100));
  EXPECT_TRUE(evidence_.empty());
  clock_.Advance(At(450));
  EXPECT_EQ(evidence_[key_].waiting, (Counts{1, 1, 1}));
  clock_.Advance(At(450));
  EXPECT_EQ(evidence_[key_].waiting, (Counts{1, 1, 1}));
  EXPECT_EQ(evidence_[key_].slower, Counts{});
  EXPECT_EQ(evidence_[key_].faster, Counts{});
}

TEST_F(AnswerClockTest, AnAnswerCountsOnceForEachStep) {
  const auto send = Begin(0);
  clock_.Advance(At(150));
  clock_.OnAnswer(At(450), send);
  clock_.OnAnswer(At(900), send);
  EXPECT_EQ(evidence_[key_].waiting, Counts{});
  EXPECT_EQ(evidence_[key_].slower, (Counts{1, 1, 1}));
  EXPECT_EQ(evidence_[key_].faster, (Counts{0, 0, 0, 1, 1, 1, 1}));
  EXPECT_EQ(clock_.open(), 0U);
}

TEST_F(AnswerClockTest, ASendThatIsGivenUpIsNeverFaster) {
  clock_.OnEnd(At(250), Begin(0), UnansweredEnd::kTooSlow);
  EXPECT_EQ(evidence_[key_].slower, (Counts{1, 1}));
  EXPECT_EQ(evidence_[key_].faster, Counts{});
  EXPECT_EQ(evidence_[key_].waiting, Counts{});
}

TEST_F(AnswerClockTest, ASendThatReachedNoServerLeavesNoEvidence) {
  const auto send = Begin(0);
  clock_.Advance(At(1000));
  clock_.OnEnd(At(1000), send, UnansweredEnd::kNoEvidence);
  EXPECT_EQ(evidence_[key_], VersionCounts());
}

TEST_F(AnswerClockTest, CountsOfSeveralReportsAddUp) {
  const auto send = Begin(0);
  clock_.Advance(At(150));
  VersionCounts total = evidence_[key_];
  evidence_.clear();
  clock_.OnAnswer(At(160), send);
  total.Add(evidence_[key_]);
  EXPECT_EQ(total.waiting, Counts{});
  EXPECT_EQ(total.slower, Counts{1});
}

}  // namespace
}  // namespace zinniastep::testing
