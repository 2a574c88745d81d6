#include <gtest/gtest.h>

#include <string_view>

#include "bench/policy/cascade_experiment.h"
#include "bench/policy/informed_bound.h"

namespace zinniastep {
namespace {

constexpr std::size_t kRequests = 20'000;
constexpr std::uint64_t kSeeds = 5;

class CascadeRegressionTest : public testing::TestWithParam<std::string_view> {
};

// Guards against a planner that misses the quality target or saves too little:
// the cost must stay below half the cost of always running the largest version,
// and near the cost of a planner with all sums known in advance.
TEST_P(CascadeRegressionTest, MeetsTheTargetAtAFractionOfTheLargest) {
  std::uint64_t met = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const CascadeWorkload workload =
        MakeCascadeWorkload(GetParam(), seed, kRequests);
    const CascadeOutcome planner = RunPlanner(workload, 1);
    const CascadeOutcome largest = RunAlways(workload, kWorkloadVersions - 1);
    met += planner.quality >= 0.85 ? 1 : 0;
    EXPECT_GE(planner.quality, 0.845);
    EXPECT_LE(planner.cost_per_request, 0.5 * largest.cost_per_request);
    EXPECT_LE(planner.cost_per_request,
              RunTunedThreshold(workload).cost_per_request);
    EXPECT_LE(planner.cost_per_request, 1.4 * InformedCost(workload));
  }
  EXPECT_GE(met, kSeeds - 1);
}

INSTANTIATE_TEST_SUITE_P(Profiles,
                         CascadeRegressionTest,
                         testing::Values("coopline", "panhandle"));

}  // namespace
}  // namespace zinniastep
