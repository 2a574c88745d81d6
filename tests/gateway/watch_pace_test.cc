#include "libzinniastep/gateway/watch_pace.h"

#include <gtest/gtest.h>

namespace zinniastep::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A list of the store, and the way of a change from peer to peer.
constexpr Duration kList = milliseconds(300);
constexpr Duration kWayToPeers = milliseconds(1000);

TEST(WatchPace, ALostChangeIsFoundBeforeItHasToBeInEffect) {
  for (const Duration time : {Duration(milliseconds(2500)),
                              Duration(seconds(4)), Duration(seconds(9))}) {
    const WatchPace alone = PaceForSelf(time);
    EXPECT_LE(alone.longest_wait + alone.slack + kList, time);
    const WatchPace for_others = PaceForOthers(time, 0);
    EXPECT_LE(for_others.longest_wait + for_others.slack + kWayToPeers, time);
  }
}

// Other hosts read the store after three seconds without a reader's answer.
TEST(WatchPace, ReadersForOthersAreHeardBeforeOthersTakeOver) {
  for (const Duration time : {Duration(seconds(4)), Duration(seconds(60))}) {
    const WatchPace pace = PaceForOthers(time, 0);
    EXPECT_LE(pace.longest_wait, seconds(2));
    EXPECT_LE(pace.shortest_wait, pace.longest_wait);
  }
}

TEST(WatchPace, LaterReadersWaitLonger) {
  const WatchPace first = PaceForOthers(seconds(4), 0);
  const WatchPace second = PaceForOthers(seconds(4), 1);
  EXPECT_EQ(second.shortest_wait, 2 * first.shortest_wait);
  EXPECT_EQ(second.longest_wait, 2 * first.longest_wait);
  EXPECT_EQ(second.slack, first.slack);
}

TEST(WatchPace, ATimeOfZeroIsNotPolled) {
  for (const WatchPace& pace :
       {PaceForSelf(Duration(0)), PaceForOthers(Duration(0), 0)}) {
    EXPECT_GE(pace.shortest_wait, milliseconds(250));
    EXPECT_GE(pace.longest_wait, pace.shortest_wait);
    EXPECT_GT(pace.slack, Duration(0));
  }
}

TEST(WatchPace, EachKindHasItsOwnTime) {
  GatewaySettings settings;
  settings.configuration_time = milliseconds(1);
  settings.leaving_time = milliseconds(2);
  settings.rollback_time = milliseconds(3);
  settings.evacuation_time = milliseconds(4);
  EXPECT_EQ(TimeToTakeEffect(settings, RecordKind::kConfiguration),
            milliseconds(1));
  EXPECT_EQ(TimeToTakeEffect(settings, RecordKind::kBackendServers),
            milliseconds(2));
  EXPECT_EQ(TimeToTakeEffect(settings, RecordKind::kRollouts), milliseconds(3));
  EXPECT_EQ(TimeToTakeEffect(settings, RecordKind::kEvacuations),
            milliseconds(4));
}

}  // namespace
}  // namespace zinniastep::testing
