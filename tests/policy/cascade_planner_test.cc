#include "libzinniastep/cascade/cascade_planner.h"

#include <gtest/gtest.h>

#include <chrono>

namespace zinniastep {
namespace {

const ModelVersion kSmall{"small", "1"};
const ModelVersion kLarge{"large", "1"};

auto MakeDocument() -> Document {
  Document document;
  for (const ModelVersion& version : {kSmall, kLarge}) {
    VersionRule rule;
    rule.id = version;
    rule.price.per_request = version == kSmall ? 100 : 2000;
    rule.prior_quality = version == kSmall ? 0.6 : 0.9;
    document.versions.push_back(rule);
  }
  return document;
}

class CascadePlannerTest : public testing::Test {
 protected:
  auto Plan(double target, bool stream) -> CascadePlan {
    account_.id = ClientAccountId("a");
    account_.quality_target = target;
    call_.stream = stream;
    const std::vector<ModelVersion> candidates = {kLarge, kSmall};
    return planner_.Plan(account_, document_, call_, candidates,
                         {1, ++requests_});
  }

  Document document_ = MakeDocument();
  AccountRule account_;
  ChatCall call_;
  CascadePlanner planner_;
  std::uint64_t requests_ = 0;
};

TEST_F(CascadePlannerTest, HoldsStreamsOnlyIfAccountAllowsBuffering) {
  EXPECT_EQ(Plan(0.8, true).delivery, Delivery::kStream);
  EXPECT_EQ(Plan(0.8, true).steps.size(), 1U);
  EXPECT_EQ(Plan(0.8, false).delivery, Delivery::kHold);
  account_.buffer_streams = true;
  const CascadePlan plan = Plan(0.8, true);
  EXPECT_EQ(plan.delivery == Delivery::kHold, plan.steps.size() > 1);
}

TEST_F(CascadePlannerTest, ReportsUnreachableTargetAndRunsBestVersion) {
  for (int i = 0; i < 500; ++i) {
    planner_.OnRating(ClientAccountId("a"), {}, kLarge, 0.7, -1.0);
    planner_.OnRating(ClientAccountId("a"), {}, kSmall, 0.4, -1.0);
  }
  const CascadePlan plan = Plan(0.95, false);
  EXPECT_FALSE(plan.target_reachable);
  ASSERT_EQ(plan.steps.size(), 1U);
  EXPECT_EQ(plan.steps[0], kLarge);
}

TEST_F(CascadePlannerTest, NeverPlansAWithdrawnVersion) {
  document_.versions[1].state = VersionState::kWithdrawn;
  for (int i = 0; i < 100; ++i) {
    for (const ModelVersion& step : Plan(0.9, false).steps) {
      EXPECT_EQ(step, kSmall);
    }
  }
  document_.versions[0].state = VersionState::kWithdrawn;
  EXPECT_TRUE(Plan(0.9, false).steps.empty());
}

TEST_F(CascadePlannerTest, BoundsTheRateOfRatings) {
  Instant now{};
  int rated = 0;
  constexpr int kRequests = 60'000;
  for (int i = 0; i < kRequests; ++i) {
    now += std::chrono::milliseconds(1);
    const RequestId request{1, static_cast<std::uint64_t>(i)};
    rated +=
        planner_.ShouldRate(now, request, ClientAccountId("a"), true) ? 1 : 0;
  }
  EXPECT_LE(rated, 60 * 20 + 20);
  EXPECT_GE(rated, 60 * 20 - 20);
}

TEST_F(CascadePlannerTest, SumsOfOtherHostsReplaceAndAddInAnyOrder) {
  QualityModel here;
  const QualityKey key{ClientAccountId("a"), TaskClassId("c"), kSmall, false};
  QualityModel there;
  for (int i = 0; i < 50; ++i) {
    here.OnRating(key, 0.9, 0.5);
    there.OnRating(key, 0.5, 0.5);
  }
  const auto rows = there.OwnRows("small", 100);
  here.ReplaceOthers(rows);
  const double once = here.Estimate(key, 0.6).mean;
  here.ReplaceOthers(rows);
  EXPECT_DOUBLE_EQ(here.Estimate(key, 0.6).mean, once);
  there.ReplaceOthers(here.OwnRows("small", 100));
  EXPECT_DOUBLE_EQ(there.Estimate(key, 0.6).mean, once);
}

}  // namespace
}  // namespace zinniastep
