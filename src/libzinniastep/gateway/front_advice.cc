#include "libzinniastep/gateway/front_advice.h"

namespace zinniastep {

namespace {

// With fewer hosts in the region one loss would leave a caller without any.
constexpr std::size_t kFewestFronts = 2;

}  // namespace

auto AdviseFronts(const TrafficView& view, const RegionId& region)
    -> std::vector<std::string> {
  std::vector<std::string> near;
  std::vector<std::string> all;
  for (const FrontAddress& front : view.fronts) {
    if (front.region == region && near.size() < kMostAdvisedFronts) {
      near.push_back(front.address);
    }
    if (all.size() < kMostAdvisedFronts) {
      all.push_back(front.address);
    }
  }
  return near.size() >= kFewestFronts ? near : all;
}

}  // namespace zinniastep
