#ifndef LIBZINNIASTEP_ROUTING_POOL_CHOOSER_H_
#define LIBZINNIASTEP_ROUTING_POOL_CHOOSER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/random.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/configuration/snapshot.h"
#include "libzinniastep/core/call.h"
#include "libzinniastep/routing/pool_summary.h"

namespace zinniastep {

// The requirements of a request for a pool.
struct PoolQuery {
  Workload workload;
  std::uint32_t prompt_tokens = 0;
  Priority priority = Priority::kNormal;
  // Failure domains that earlier attempts of this request used.
  std::span<const FailureDomainId> tried;
};

// The evaluation of one pool at the time a request was routed.
struct PoolCandidate {
  FailureDomainId domain;
  // Free slots, less the requests that this host sent since the summary was
  // made.
  double headroom = 0.0;
  // Weight in the random draw.
  double weight = 0.0;
  // Expected time to the first token, including queueing and the link between
  // regions.
  Duration expected_first_token{0};
  // Whether the pool was one of the two drawn for comparison.
  bool compared = false;
};

// The failure domain to request a credit from, and all pools considered.
struct PoolChoice {
  FailureDomainId domain;
  std::vector<PoolCandidate> candidates;
};

// Costs of the link between regions, and the decay of old summaries.
struct PoolCosts {
  // Latency that routing to another region adds, and a further latency per
  // thousand prompt tokens that stands for the price of the link, which is
  // billed by volume.
  Duration cross_region_latency{20'000};
  Duration cross_region_latency_per_thousand_tokens{5'000};
  // Age at which the load in a summary counts for a third.
  Duration summary_decay_time{1'000'000};
  // Utilization of the pools in the home region above which pools in other
  // regions gain weight, and at which they have the same weight as pools in the
  // home region.
  double cross_region_min_utilization = 0.5;
  double cross_region_full_utilization = 0.7;
};

// Chooses a failure domain for a request: draws two at random, weighted by
// headroom, and takes the first unless it is full and the second is not. The
// load in a summary decays with the age of the summary towards the mean of all
// pools, so that hosts that read the same old summary do not all choose the
// same pool. The running time depends on the number of failure domains, not on
// the number of backend servers.
class PoolChooser {
 public:
  PoolChooser(const ConfigurationSnapshot& configuration,
              RegionId home,
              std::uint64_t seed,
              PoolCosts costs = {});

  // Returns a failure domain that is in service, was not tried and has a pool
  // for the workload, or nullopt.
  [[nodiscard]] auto Choose(Instant now,
                            const PoolQuery& query,
                            std::span<const PoolSummary> summaries)
      -> std::optional<PoolChoice>;

  // Records that a credit was requested from a pool.
  auto OnCreditRequested(Instant now,
                         const FailureDomainId& domain,
                         const Workload& workload) -> void;

  // Records that a pool granted a credit, which ends a series of refusals.
  auto OnGranted(const FailureDomainId& domain, const Workload& workload)
      -> void;

  // Records that a pool refused a credit. The pool is avoided for a backoff
  // time, which doubles with each further refusal, up to eight times the first.
  auto OnRefused(Instant now,
                 const FailureDomainId& domain,
                 const Workload& workload,
                 Duration retry_after) -> void;

 private:
  using PoolKey = std::pair<FailureDomainId, Workload>;
  // Recent credit requests and refusals between this host and one pool.
  struct PoolHistory {
    std::deque<Instant> sends;
    Instant refused_until{};
    // Consecutive refusals.
    unsigned refusals = 0;
  };

  // Load of the eligible pools relative to their limits, over all regions and
  // in the home region.
  struct Utilization {
    double all = 0.0;
    double home = 0.0;
  };

  // A pool that a request may be routed to.
  struct EligiblePool {
    const PoolSummary* summary = nullptr;
    bool home = true;
  };

  [[nodiscard]] auto FindEligible(const PoolQuery& query,
                                  std::span<const PoolSummary> summaries) const
      -> std::vector<EligiblePool>;
  [[nodiscard]] static auto MeasureUtilization(
      std::span<const EligiblePool> pools) -> Utilization;
  [[nodiscard]] auto EvaluatePool(Instant now,
                                  const PoolQuery& query,
                                  const EligiblePool& pool,
                                  const Utilization& utilization)
      -> PoolCandidate;
  [[nodiscard]] auto Draw(std::span<const PoolCandidate> candidates,
                          std::size_t excluded) -> std::size_t;
  [[nodiscard]] auto HistoryFor(const PoolKey& key) -> PoolHistory&;

  const ConfigurationSnapshot& configuration_;
  RegionId home_;
  Random random_;
  PoolCosts costs_;
  std::map<PoolKey, PoolHistory> histories_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_ROUTING_POOL_CHOOSER_H_
