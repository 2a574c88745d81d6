#include "libzinniastep/gateway/peer_fetch_scheduler.h"

#include <gtest/gtest.h>

#include "tests/support/gateway_samples.h"

namespace zinniastep::testing {
namespace {

constexpr RecordKind kKind = RecordKind::kConfiguration;
const PeerRef kNear{HostId("near"), 1, "n:1"};
const PeerRef kFar{HostId("far"), 2, "f:1"};

TEST(PeerFetchScheduler, APeerOfTheSameRegionIsAskedAtOnce) {
  PeerFetchScheduler fetches;
  fetches.OnNewerState(At(0), kKind, kNear, true);
  const auto due = fetches.TakeDue(At(0), false);
  ASSERT_EQ(due.size(), 1U);
  EXPECT_EQ(due[0].peer.host, kNear.host);
  EXPECT_FALSE(due[0].full_state);
  EXPECT_TRUE(fetches.TakeDue(At(100), false).empty())
      << "one request at a time";
}

TEST(PeerFetchScheduler, APeerOfAnotherRegionIsAskedAfterADelay) {
  PeerFetchScheduler fetches;
  fetches.OnNewerState(At(0), kKind, kFar, false);
  EXPECT_TRUE(fetches.TakeDue(At(100), false).empty());
  fetches.OnNewerState(At(150), kKind, kNear, true);
  const auto due = fetches.TakeDue(At(150), false);
  ASSERT_EQ(due.size(), 1U);
  EXPECT_EQ(due[0].peer.host, kNear.host);
  fetches.OnReceived(kKind);
  fetches.OnNewerState(At(1000), kKind, kFar, false);
  EXPECT_EQ(fetches.TakeDue(At(1300), false).size(), 1U);
}

TEST(PeerFetchScheduler, AnUnansweredRequestGoesToTheLastReportingPeer) {
  PeerFetchScheduler fetches;
  fetches.OnNewerState(At(0), kKind, kNear, true);
  EXPECT_EQ(fetches.TakeDue(At(0), false).size(), 1U);
  const PeerRef other{HostId("other"), 3, "o:1"};
  fetches.OnNewerState(At(200), kKind, other, true);
  const auto due = fetches.TakeDue(At(500), false);
  ASSERT_EQ(due.size(), 1U);
  EXPECT_EQ(due[0].peer.host, other.host);
}

TEST(PeerFetchScheduler, ARepeatedRequestIsMarkedAsARetry) {
  PeerFetchScheduler fetches;
  fetches.OnDeltaMismatch(At(0), kKind, kNear);
  EXPECT_FALSE(fetches.TakeDue(At(0), false).at(0).is_retry);
  EXPECT_TRUE(fetches.TakeDue(At(500), false).at(0).is_retry);
}

TEST(PeerFetchScheduler, ADeltaMismatchRequestsTheFullState) {
  PeerFetchScheduler fetches;
  fetches.OnDeltaMismatch(At(0), kKind, kNear);
  const auto due = fetches.TakeDue(At(0), true);
  ASSERT_EQ(due.size(), 1U);
  EXPECT_TRUE(due[0].full_state);
}

}  // namespace
}  // namespace zinniastep::testing
