#include "libzinniastep/gateway/peer_fetch_scheduler.h"

#include <cstdint>
#include <vector>

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
  EXPECT_EQ(due[0].peer.value().host, kNear.host);
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
  EXPECT_EQ(due[0].peer.value().host, kNear.host);
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
  EXPECT_EQ(due[0].peer.value().host, other.host);
}

TEST(PeerFetchScheduler, ARepeatedRequestIsMarkedAsARetry) {
  PeerFetchScheduler fetches;
  fetches.OnDeltaMismatch(At(0), kKind, kNear);
  EXPECT_EQ(fetches.TakeDue(At(0), false).at(0).retries, 0U);
  EXPECT_EQ(fetches.TakeDue(At(500), false).at(0).retries, 1U);
}

TEST(PeerFetchScheduler, APeerThatDidNotAnswerIsNotAskedAgainUnlessItReports) {
  PeerFetchScheduler fetches;
  fetches.OnNewerState(At(0), kKind, kNear, true);
  EXPECT_TRUE(fetches.TakeDue(At(0), false).at(0).peer.has_value());
  EXPECT_FALSE(fetches.TakeDue(At(400), false).at(0).peer.has_value());
  fetches.OnNewerState(At(600), kKind, kNear, true);
  EXPECT_TRUE(fetches.TakeDue(At(800), false).at(0).peer.has_value());
}

TEST(PeerFetchScheduler, AStateThatComesSlowlyIsRequestedEverLessOften) {
  PeerFetchScheduler fetches;
  fetches.OnNewerState(At(0), kKind, kNear, true);
  std::vector<std::int64_t> requests;
  for (std::int64_t ms = 0; ms <= 10000; ms += 100) {
    if (!fetches.TakeDue(At(ms), false).empty()) {
      requests.push_back(ms);
    }
  }
  EXPECT_EQ(requests, (std::vector<std::int64_t>{0, 400, 800, 1600, 3200, 4800,
                                                 6400, 8000, 9600}));
}

TEST(PeerFetchScheduler, AnswersThatCannotBeReadDoNotSpeedUpRequests) {
  PeerFetchScheduler fetches;
  fetches.OnNewerState(At(0), kKind, kNear, true);
  std::size_t requests = 0;
  for (std::int64_t ms = 0; ms < 4000; ms += 10) {
    for (const auto& fetch : fetches.TakeDue(At(ms), false)) {
      EXPECT_EQ(fetch.plain, requests > 0);
      ++requests;
      fetches.OnUnreadable(At(ms + 10), kKind);
    }
  }
  EXPECT_GE(requests, 2U);
  EXPECT_LE(requests, 10U);
}

TEST(PeerFetchScheduler, AMissingKindIsRequestedTwiceBeforeTheStoreIsRead) {
  PeerFetchScheduler fetches;
  fetches.OnMissing(At(0), kKind);
  ASSERT_EQ(fetches.TakeDue(At(0), true).size(), 1U);
  fetches.OnMissing(At(50), kKind);
  EXPECT_TRUE(fetches.TakeDue(At(50), true).empty());
  EXPECT_EQ(fetches.TakeDue(At(100), true).size(), 1U);
  EXPECT_TRUE(fetches.TakeDue(At(400), true).empty());
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
