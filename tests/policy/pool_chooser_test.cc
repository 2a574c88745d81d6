#include "libzinniastep/routing/pool_chooser.h"

#include <gtest/gtest.h>

#include <chrono>
#include <map>

#include "libzinniastep/routing/hedge_timer.h"
#include "libzinniastep/routing/retry_budget.h"

namespace zinniastep {
namespace {

const Workload kWorkload = ModelVersion{"model", "1"};

class PoolChooserTest : public testing::Test {
 protected:
  PoolChooserTest() {
    for (const char* name : {"a", "b", "far"}) {
      FailureDomainRule rule;
      rule.id = FailureDomainId(name);
      rule.region = RegionId(std::string(name) == "far" ? "far" : "home");
      configuration_.domains.domains.push_back(rule);
      PoolSummary summary;
      summary.domain = rule.id;
      summary.workload = kWorkload;
      summary.limit = 10;
      summaries_.push_back(summary);
    }
  }

  auto Counts(const std::vector<FailureDomainId>& tried = {})
      -> std::map<std::string, int> {
    std::map<std::string, int> counts;
    for (int i = 0; i < 1000; ++i) {
      PoolQuery query;
      query.workload = kWorkload;
      query.tried = tried;
      const auto choice = chooser_.Choose(now_, query, summaries_);
      counts[choice ? choice->domain.text() : "none"] += 1;
    }
    return counts;
  }

  Instant now_ = Instant() + std::chrono::seconds(100);
  ConfigurationSnapshot configuration_;
  std::vector<PoolSummary> summaries_;
  PoolChooser chooser_{configuration_, RegionId("home"), 1};
};

TEST_F(PoolChooserTest, SkipsPoolsThatAreOutTriedOrOfAnotherWorkload) {
  configuration_.domains.domains[0].state = FailureDomainState::kOut;
  EXPECT_EQ(Counts()["a"], 0);
  EXPECT_EQ(Counts({FailureDomainId("b")})["far"], 1000);
  EXPECT_EQ(Counts({FailureDomainId("b"), FailureDomainId("far")})["none"],
            1000);
  summaries_[1].workload = ServiceId("service");
  EXPECT_EQ(Counts()["b"], 0);
}

TEST_F(PoolChooserTest, UsesOtherRegionsOnlyWhenHomeIsBusy) {
  EXPECT_LT(Counts()["far"], 50);
  summaries_[0].running = summaries_[1].running = 9;
  EXPECT_GT(Counts()["far"], 500);
}

TEST_F(PoolChooserTest, AvoidsAPoolThatRefused) {
  chooser_.OnRefused(now_, FailureDomainId("a"), kWorkload,
                     std::chrono::seconds(1));
  EXPECT_LT(Counts()["a"], 50);
  now_ += std::chrono::seconds(2);
  EXPECT_GT(Counts()["a"], 300);
}

TEST_F(PoolChooserTest, OldSummariesDoNotConcentrateLoad) {
  summaries_[0].running = 8;
  summaries_[1].running = 2;
  EXPECT_LT(Counts()["a"], 300);
  for (PoolSummary& summary : summaries_) {
    summary.age = std::chrono::seconds(5);
  }
  const auto counts = Counts();
  EXPECT_NEAR(counts.at("a"), counts.at("b"), 150);
}

TEST(RetryBudgetTest, LimitsExtraAttemptsToShareOfSuccesses) {
  RetryBudget budget(0.1, 10.0);
  int spent = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnSuccess();
    spent += budget.TrySpend() ? 1 : 0;
  }
  EXPECT_LE(spent, 110);
  EXPECT_GE(spent, 100);
}

TEST(HedgeTimerTest, FollowsTheNinetyFifthPercentile) {
  HedgeTimer timer;
  EXPECT_FALSE(timer.Delay(kWorkload).has_value());
  for (int i = 0; i < 20'000; ++i) {
    timer.OnFirstToken(kWorkload, std::chrono::milliseconds(i * 37 % 1000));
  }
  const auto delay = timer.Delay(kWorkload);
  ASSERT_TRUE(delay.has_value());
  EXPECT_GT(*delay, std::chrono::milliseconds(800));
  EXPECT_LT(*delay, std::chrono::milliseconds(1100));
}

}  // namespace
}  // namespace zinniastep
