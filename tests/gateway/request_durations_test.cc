#include "libzinniastep/gateway/request_durations.h"

#include <gtest/gtest.h>

namespace zinniastep::testing {
namespace {

using std::chrono::milliseconds;

TEST(RequestDurations, TheLongestDecaysAndTheMeanFollows) {
  RequestDurations durations;
  EXPECT_FALSE(durations.Find("r").has_value());
  durations.Record("r", milliseconds(1000));
  for (int i = 0; i < 200; ++i) {
    durations.Record("r", milliseconds(10));
  }
  EXPECT_LT(durations.Find("r")->longest, milliseconds(20));
  EXPECT_LT(durations.Find("r")->mean, milliseconds(12));
  durations.Record("r", milliseconds(500));
  EXPECT_EQ(durations.Find("r")->longest, milliseconds(500));
}

TEST(RequestDurations, RoutesThatAreGoneAreDropped) {
  RequestDurations durations;
  durations.Record("kept", milliseconds(10));
  durations.Record("gone", milliseconds(10));
  durations.KeepIf([](const std::string& route) { return route == "kept"; });
  EXPECT_TRUE(durations.Find("kept").has_value());
  EXPECT_FALSE(durations.Find("gone").has_value());
}

}  // namespace
}  // namespace zinniastep::testing
