#include "libzinniastep/gateway/newer_elsewhere.h"

#include <gtest/gtest.h>

#include "tests/support/gateway_samples.h"

namespace zinniastep::testing {
namespace {

constexpr RecordKind kKind = RecordKind::kConfiguration;
const PeerRef kNear{HostId("near"), 1, "n:1"};
const PeerRef kFar{HostId("far"), 2, "f:1"};

TEST(NewerElsewhere, ANearPeerIsAskedAtOnce) {
  NewerElsewhere newer;
  newer.OnTold(At(0), kKind, kNear, true);
  const auto due = newer.Due(At(0), false);
  ASSERT_EQ(due.size(), 1U);
  EXPECT_EQ(due[0].peer.host, kNear.host);
  EXPECT_FALSE(due[0].whole);
  EXPECT_TRUE(newer.Due(At(100), false).empty()) << "one question at a time";
}

TEST(NewerElsewhere, AFarPeerIsAskedWhenNoNearOneSpeaks) {
  NewerElsewhere newer;
  newer.OnTold(At(0), kKind, kFar, false);
  EXPECT_TRUE(newer.Due(At(100), false).empty());
  newer.OnTold(At(150), kKind, kNear, true);
  const auto due = newer.Due(At(150), false);
  ASSERT_EQ(due.size(), 1U);
  EXPECT_EQ(due[0].peer.host, kNear.host);
  newer.OnReceived(kKind);
  newer.OnTold(At(1000), kKind, kFar, false);
  EXPECT_EQ(newer.Due(At(1300), false).size(), 1U);
}

TEST(NewerElsewhere, ASilentPeersQuestionGoesToWhoeverSpokeLast) {
  NewerElsewhere newer;
  newer.OnTold(At(0), kKind, kNear, true);
  EXPECT_EQ(newer.Due(At(0), false).size(), 1U);
  const PeerRef other{HostId("other"), 3, "o:1"};
  newer.OnTold(At(200), kKind, other, true);
  const auto due = newer.Due(At(500), false);
  ASSERT_EQ(due.size(), 1U);
  EXPECT_EQ(due[0].peer.host, other.host);
}

TEST(NewerElsewhere, AQuestionThatWasNotAnsweredSaysSo) {
  NewerElsewhere newer;
  newer.OnUnfit(At(0), kKind, kNear);
  EXPECT_FALSE(newer.Due(At(0), false).at(0).unanswered);
  EXPECT_TRUE(newer.Due(At(500), false).at(0).unanswered);
}

TEST(NewerElsewhere, ChangesThatDoNotFitLeadToTheWholeState) {
  NewerElsewhere newer;
  newer.OnUnfit(At(0), kKind, kNear);
  const auto due = newer.Due(At(0), true);
  ASSERT_EQ(due.size(), 1U);
  EXPECT_TRUE(due[0].whole);
}

}  // namespace
}  // namespace zinniastep::testing
