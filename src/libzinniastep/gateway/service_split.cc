#include "libzinniastep/gateway/service_split.h"

namespace zinniastep {

auto ServiceAt(std::span<const ServiceShare> split, double position)
    -> const ServiceId* {
  double total = 0.0;
  for (const ServiceShare& share : split) {
    total += share.weight;
  }
  double rest = position * total;
  const ServiceId* service = nullptr;
  for (const ServiceShare& share : split) {
    if (share.weight <= 0.0) {
      continue;
    }
    service = &share.service;
    rest -= share.weight;
    if (rest < 0.0) {
      break;
    }
  }
  return service;
}

}  // namespace zinniastep
