#ifndef LIBZINNIASTEP_ROUTING_POOL_SUMMARY_H_
#define LIBZINNIASTEP_ROUTING_POOL_SUMMARY_H_

#include <cstdint>
#include <variant>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"

namespace zinniastep {

// The work that a pool serves: a version of a model, or a service without a
// model.
using Workload = std::variant<ModelVersion, ServiceId>;

// The aggregated state of the backend servers of one failure domain that serve
// one workload, as their stewards last reported it.
struct PoolSummary {
  FailureDomainId domain;
  Workload workload;
  // Requests that the pool can run at once, and that it runs now.
  std::uint32_t limit = 0;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint32_t warm_servers = 0;
  std::uint32_t cold_servers = 0;
  // Recent median time to the first token; zero while unknown.
  Duration first_token{0};
  // Age of the summary when it was read.
  Duration age{0};
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_ROUTING_POOL_SUMMARY_H_
