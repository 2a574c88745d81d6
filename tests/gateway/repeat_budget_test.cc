#include <algorithm>
#include <cstdint>
#include <vector>

#include <gtest/gtest.h>

#include "libzinniastep/base/random.h"
#include "libzinniastep/gateway/repeat_budget.h"

namespace zinniastep::testing {
namespace {

constexpr Duration kWindow = std::chrono::seconds(10);
constexpr Duration kTick = std::chrono::milliseconds(5);

// Requests of a simulated fleet and its granted repeats, in order of time.
struct SimulationResult {
  std::vector<Instant> requests;
  std::vector<Instant> repeats;
  std::uint64_t wanted = 0;
};

struct Load {
  std::size_t hosts = 86;
  // Requests per second over all hosts, and the part of them that needs a
  // repeat.
  double requests_per_second = 264.0;
  double repeat_part = 0.45;
  double share = 0.9;
  double slack = 212.0;
};

auto Simulate(const Load& load, Duration length, std::uint64_t seed)
    -> SimulationResult {
  Random random(seed);
  std::vector<RepeatBudget> budgets(load.hosts,
                                    RepeatBudget(kWindow, load.share));
  SimulationResult result;
  const double chance =
      load.requests_per_second * std::chrono::duration<double>(kTick).count();
  const double slack = load.slack / static_cast<double>(load.hosts);
  for (Instant now(kWindow); now < Instant(kWindow + length); now += kTick) {
    for (double left = chance; left > 0.0; left -= 1.0) {
      if (random.Unit() >= left) {
        continue;
      }
      RepeatBudget& budget = budgets[random.Below(load.hosts)];
      budget.OnRequest(now);
      result.requests.push_back(now);
      if (random.Unit() < load.repeat_part) {
        ++result.wanted;
        if (budget.MayRepeat(now, slack)) {
          budget.OnRepeat(now);
          result.repeats.push_back(now);
        }
      }
    }
  }
  return result;
}

auto CountIn(const std::vector<Instant>& times, Instant from, Instant to)
    -> double {
  return static_cast<double>(std::ranges::lower_bound(times, to) -
                             std::ranges::lower_bound(times, from));
}

// Each host of a large fleet receives only some requests a second. With a token
// bucket of the host's part of the slack, one and a half repeats, a quarter of
// the needed repeats was refused while the fleet stayed far below its limit.
TEST(RepeatBudgetTest, SmallSharesOfALargeFleetGrantWhatTheLimitAllows) {
  const SimulationResult result = Simulate({}, std::chrono::seconds(60), 1);
  ASSERT_GT(result.wanted, 5000U);
  EXPECT_GE(static_cast<double>(result.repeats.size()),
            0.98 * static_cast<double>(result.wanted));
}

TEST(RepeatBudgetTest, AFleetKeepsItsLimitInEachWindow) {
  Load load;
  // The demand for repeats is twice what the limit allows.
  load.repeat_part = 1.0;
  load.share = 0.45;
  load.slack = 50.0;
  for (const std::uint64_t seed : {1, 2, 3}) {
    const SimulationResult result =
        Simulate(load, std::chrono::seconds(40), seed);
    for (Instant end(kWindow); end < Instant(kWindow * 5);
         end += std::chrono::milliseconds(100)) {
      const double requests = CountIn(result.requests, end - kWindow, end);
      const double before =
          CountIn(result.requests, end - kWindow * 2, end - kWindow);
      EXPECT_LE(CountIn(result.repeats, end - kWindow, end),
                load.share * std::max(requests, before) + load.slack);
    }
  }
}

TEST(RepeatBudgetTest, WithoutRequestsOnlyTheSlackIsLeft) {
  RepeatBudget budget(kWindow, 0.9);
  Instant now(kWindow);
  int granted = 0;
  for (int asked = 0; asked < 10; ++asked) {
    if (budget.MayRepeat(now, 3.0)) {
      budget.OnRepeat(now);
      ++granted;
    }
  }
  EXPECT_EQ(granted, 3);
  now += kWindow + std::chrono::seconds(1);
  EXPECT_TRUE(budget.MayRepeat(now, 3.0));
}

}  // namespace
}  // namespace zinniastep::testing
