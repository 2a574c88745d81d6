#include "libzinniastep/gateway/backend_roster.h"

#include <gtest/gtest.h>

#include "tests/support/gateway_samples.h"

namespace zinniastep::testing {
namespace {

constexpr Duration kGrace = std::chrono::milliseconds(2000);

TEST(BackendRoster, KeepsAMissingEntryForTheGracePeriod) {
  BackendRoster roster(kGrace);
  roster.Update(At(0), {Backend("a"), Backend("b")});
  roster.Update(At(1000), {Backend("b")});
  EXPECT_FALSE(roster.Expire(At(2999)));
  EXPECT_EQ(roster.usable().size(), 2U);
  EXPECT_TRUE(roster.Expire(At(3000)));
  ASSERT_EQ(roster.usable().size(), 1U);
  EXPECT_EQ(roster.usable()[0].entry.id, BackendServerId("b"));
}

TEST(BackendRoster, AnEntryThatIsListedAgainStays) {
  BackendRoster roster(kGrace);
  roster.Update(At(0), {Backend("a")});
  roster.Update(At(1000), {});
  roster.Update(At(2500), {Backend("a")});
  EXPECT_FALSE(roster.Expire(At(9000)));
  EXPECT_EQ(roster.usable().size(), 1U);
}

TEST(BackendRoster, DrainingAppliesAtOnceAndAnOlderEntryDoesNotUndoIt) {
  BackendRoster roster(kGrace);
  BackendEntry entry = Backend("a");
  entry.sequence = 5;
  roster.Update(At(0), {entry});
  entry.sequence = 6;
  entry.draining = true;
  roster.Update(At(100), {entry});
  EXPECT_TRUE(roster.usable().empty());
  entry.sequence = 4;
  entry.draining = false;
  roster.Update(At(200), {entry});
  EXPECT_TRUE(roster.usable().empty());
  entry.sequence = 7;
  roster.Update(At(300), {entry});
  EXPECT_TRUE(roster.usable().empty()) << "the incarnation is leaving";
}

TEST(BackendRoster, ANewIncarnationOfAServerReplacesTheOldOne) {
  BackendRoster roster(kGrace);
  BackendEntry entry = Backend("a");
  entry.draining = true;
  entry.sequence = 90;
  roster.Update(At(0), {entry});
  entry.started = 2;
  entry.sequence = 1;
  entry.draining = false;
  entry.cold_left = std::chrono::milliseconds(3000);
  roster.Update(At(100), {entry});
  ASSERT_EQ(roster.usable().size(), 1U);
  EXPECT_EQ(roster.usable()[0].cold_until, At(3100));
  entry.started = 1;
  entry.draining = true;
  roster.Update(At(200), {entry});
  EXPECT_EQ(roster.usable().size(), 1U) << "entry of the earlier incarnation";
}

TEST(BackendRoster, AServerThatBecomesColdAgainIsMarkedCold) {
  BackendRoster roster(kGrace);
  BackendEntry entry = Backend("a");
  roster.Update(At(0), {entry});
  entry.sequence = 2;
  entry.cold_left = std::chrono::milliseconds(1500);
  roster.Update(At(5000), {entry});
  EXPECT_EQ(roster.usable()[0].cold_until, At(6500));
}

TEST(BackendRoster, TheServersOfAReturnedDomainAreMarkedCold) {
  BackendRoster roster(kGrace);
  roster.Update(At(0), {Backend("a", "north"), Backend("b", "south")});
  roster.MarkCold(FailureDomainId("south"), At(9000));
  for (const UsableBackend& backend : roster.usable()) {
    const bool is_cold = backend.cold_until > At(1000);
    EXPECT_EQ(is_cold, backend.entry.domain == FailureDomainId("south"));
  }
}

}  // namespace
}  // namespace zinniastep::testing
