#ifndef LIBZINNIASTEP_GATEWAY_SERVICE_SPLIT_H_
#define LIBZINNIASTEP_GATEWAY_SERVICE_SPLIT_H_

#include <span>

#include "libzinniastep/base/ids.h"

namespace zinniastep {

// A part of a route's traffic that goes to one service.
struct ServiceShare {
  ServiceId service;
  // Relative to the other shares of the route; a share of zero gets no
  // requests.
  double weight = 1.0;

  auto operator==(const ServiceShare&) const -> bool = default;
};

// Returns the service that serves a position of a route's traffic, from 0 up to
// but without 1, or null if no share is above zero. The result points into the
// split.
[[nodiscard]] auto ServiceAt(std::span<const ServiceShare> split,
                             double position) -> const ServiceId*;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_SERVICE_SPLIT_H_
