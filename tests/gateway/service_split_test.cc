#include "libzinniastep/gateway/service_split.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace zinniastep {
namespace {

// Just below the end of the traffic.
constexpr double kLast = 1.0 - 0x1.0p-53;

auto NameAt(const std::vector<ServiceShare>& split, double position)
    -> std::string {
  const ServiceId* service = ServiceAt(split, position);
  return service == nullptr ? "" : service->text();
}

TEST(ServiceSplit, SharesFollowTheWeights) {
  const std::vector<ServiceShare> split = {{ServiceId("p"), 90.0},
                                           {ServiceId("q"), 10.0}};
  EXPECT_EQ(NameAt(split, 0.0), "p");
  EXPECT_EQ(NameAt(split, 0.89), "p");
  EXPECT_EQ(NameAt(split, 0.91), "q");
  EXPECT_EQ(NameAt(split, kLast), "q");
}

TEST(ServiceSplit, AnEmptySplitHasNoService) {
  EXPECT_EQ(ServiceAt({}, 0.5), nullptr);
}

TEST(ServiceSplit, AShareOfZeroGetsNoRequests) {
  const std::vector<ServiceShare> split = {{ServiceId("a"), 0.0},
                                           {ServiceId("b"), 0.1},
                                           {ServiceId("c"), 0.2},
                                           {ServiceId("d"), 0.3},
                                           {ServiceId("e"), 0.0}};
  EXPECT_EQ(NameAt(split, 0.0), "b");
  EXPECT_EQ(NameAt(split, kLast), "d");
  EXPECT_EQ(NameAt({{ServiceId("a"), 0.0}, {ServiceId("b"), 0.0}}, 0.5), "");
}

}  // namespace
}  // namespace zinniastep
