#include <cstdint>
#include <cstdio>

#include <gtest/gtest.h>

#include "tests/fleet/cold_limit_play.h"

namespace zinniastep {
namespace {

// Found when more schedules than those of cold_limit_test were played.
TEST(ColdLimitFindingTest, SumOverAllHostsStaysWithinTheLimit) {
  for (std::uint64_t seed = 61; seed <= 400; ++seed) {
    EXPECT_EQ(RunSchedules(Breakage::kNone, seed, seed).overloads, 0U)
        << "seed " << seed;
  }
}

}  // namespace
}  // namespace zinniastep
