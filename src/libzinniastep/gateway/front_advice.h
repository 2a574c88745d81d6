#ifndef LIBZINNIASTEP_GATEWAY_FRONT_ADVICE_H_
#define LIBZINNIASTEP_GATEWAY_FRONT_ADVICE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/gateway/backend_entry.h"

namespace zinniastep {

// Longest list of addresses that a caller gets.
inline constexpr std::size_t kMostAdvisedFronts = 64;

// Returns where callers of a failure domain should connect: the live hosts of
// their region, or all when the region has too few to bear a loss.
[[nodiscard]] auto AdviseFronts(const TrafficView& view, const RegionId& region)
    -> std::vector<std::string>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_FRONT_ADVICE_H_
