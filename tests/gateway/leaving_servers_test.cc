#include "libzinniastep/gateway/leaving_servers.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "libzinniastep/gateway/server_chooser.h"
#include "tests/support/gateway_samples.h"

namespace zinniastep::testing {
namespace {

auto Started(const std::string& id, std::uint64_t started) -> BackendEntry {
  BackendEntry entry = Backend(id);
  entry.started = started;
  return entry;
}

auto Listed(const std::vector<BackendEntry>& entries)
    -> std::vector<UsableBackend> {
  std::vector<UsableBackend> listed;
  listed.reserve(entries.size());
  for (const BackendEntry& entry : entries) {
    listed.push_back({entry, Instant()});
  }
  return listed;
}

auto Chooser() -> ServerChooser {
  return {HostId("h"), FailureDomainId("north"), RegionId("here")};
}

auto Need() -> ServerNeed {
  ServerNeed need;
  need.service = ServiceId("pool");
  return need;
}

TEST(LeavingServers, ANewEntryOfTheSameIncarnationDoesNotTakeItBack) {
  LeavingServers leaving;
  EXPECT_TRUE(leaving.Learn(At(0), BackendServerId("a"), 5));
  EXPECT_FALSE(leaving.Learn(At(1), BackendServerId("a"), 5));
  BackendEntry entry = Started("a", 5);
  for (std::uint64_t sequence = 1; sequence < 4; ++sequence) {
    entry.sequence = sequence;
    EXPECT_TRUE(leaving.Update(At(2), Listed({entry})).empty());
    EXPECT_TRUE(leaving.Contains(BackendServerId("a"), 5));
    EXPECT_TRUE(leaving.Update(At(3), {}).empty());
  }
  EXPECT_TRUE(leaving.Contains(BackendServerId("a"), 5));
}

TEST(LeavingServers, ALaterIncarnationIsNotBound) {
  LeavingServers leaving;
  leaving.Learn(At(0), BackendServerId("a"), 5);
  EXPECT_FALSE(leaving.Contains(BackendServerId("a"), 6));
  EXPECT_TRUE(leaving.Contains(BackendServerId("a"), 4));
  const auto ended = leaving.Update(At(70), Listed({Started("a", 6)}));
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_TRUE(ended[0].was_replaced);
  EXPECT_EQ(ended[0].age, At(70) - At(0));
  // An answer of the one before may still arrive.
  leaving.Learn(At(80), BackendServerId("a"), 5);
  EXPECT_FALSE(leaving.Contains(BackendServerId("a"), 6));
}

TEST(LeavingServers, TheTableIsBoundedAndKeepsListedServers) {
  LeavingServers leaving;
  leaving.Learn(At(0), BackendServerId("listed"), 1);
  for (std::size_t index = 0; index < 2 * kMaxLeavingServers; ++index) {
    leaving.Learn(At(1), BackendServerId("s" + std::to_string(index)), 1);
  }
  const auto ended = leaving.Update(At(2), Listed({Started("listed", 1)}));
  EXPECT_EQ(leaving.size(), kMaxLeavingServers);
  EXPECT_EQ(ended.size(), kMaxLeavingServers + 1);
  EXPECT_TRUE(leaving.Contains(BackendServerId("listed"), 1));
}

// The paths that choose a server: new requests, repeats, returns to a server
// that was left, and sessions of a version that only this server has.
TEST(LeavingServers, NoPathChoosesOne) {
  ServerChooser chooser = Chooser();
  BackendEntry target = Started("a", 5);
  target.version = "v2";
  auto view = View({target, Started("b", 1)});
  RolloutSplit split;
  split.service = ServiceId("pool");
  split.target_version = "v2";
  split.target_share = 1.0;
  view->splits = {split};
  chooser.SetView(At(0), view);
  ASSERT_EQ(chooser.Choose(At(0), Need())->entry.id.text(), "a");
  EXPECT_TRUE(chooser.OnLeaving(At(1), target));
  EXPECT_EQ(chooser.Choose(At(2), Need())->entry.id.text(), "b");
  EXPECT_FALSE(chooser.IsUsable(BackendServerId("a")));
  ServerNeed need = Need();
  const std::vector<BackendServerId> only = {BackendServerId("a")};
  need.among = only;
  EXPECT_EQ(chooser.Choose(At(2), need), nullptr);
  EXPECT_EQ(chooser.reason(), NoServerReason::kLeaving);
  const std::vector<BackendServerId> tried = {BackendServerId("b")};
  need = Need();
  need.tried = tried;
  EXPECT_EQ(chooser.Choose(At(2), need), nullptr);
  EXPECT_EQ(chooser.reason(), NoServerReason::kLeaving);
}

TEST(LeavingServers, TheNextIncarnationIsChosenAtOnce) {
  ServerChooser chooser = Chooser();
  chooser.SetView(At(0), View({Started("a", 5)}));
  chooser.OnLeaving(At(1), Started("a", 5));
  EXPECT_EQ(chooser.Choose(At(2), Need()), nullptr);
  const auto ended = chooser.SetView(At(3), View({Started("a", 6)}));
  EXPECT_EQ(ended.size(), 1U);
  EXPECT_NE(chooser.Choose(At(4), Need()), nullptr);
}

TEST(LeavingServers, AnotherServerAtTheAddressIsNotBound) {
  ServerChooser chooser = Chooser();
  BackendEntry gone = Started("a", 5);
  BackendEntry other = Started("z", 1);
  other.address = gone.address;
  chooser.SetView(At(0), View({gone}));
  chooser.OnLeaving(At(1), gone);
  chooser.SetView(At(2), View({other}));
  EXPECT_NE(chooser.Choose(At(3), Need()), nullptr);
}

TEST(LeavingServers, AServiceThatLeavesWholeHasNoUtilizationToSpare) {
  ServerChooser chooser = Chooser();
  chooser.SetView(At(0), View({Started("a", 5)}));
  EXPECT_EQ(chooser.Utilization(At(0), ServiceId("pool")), 0.0);
  chooser.OnLeaving(At(1), Started("a", 5));
  EXPECT_EQ(chooser.Utilization(At(1), ServiceId("pool")), 1.0);
}

}  // namespace
}  // namespace zinniastep::testing
