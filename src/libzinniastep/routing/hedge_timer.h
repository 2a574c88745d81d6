#ifndef LIBZINNIASTEP_ROUTING_HEDGE_TIMER_H_
#define LIBZINNIASTEP_ROUTING_HEDGE_TIMER_H_

#include <map>
#include <optional>

#include "libzinniastep/base/time.h"
#include "libzinniastep/routing/pool_summary.h"

namespace zinniastep {

// Computes how long to wait for a first token before a second attempt (hedge)
// starts: a running estimate of the 95th percentile of the first-token times of
// each workload.
class HedgeTimer {
 public:
  // Updates the estimate with the first-token time of an answer.
  auto OnFirstToken(const Workload& workload, Duration first_token) -> void;

  // Returns the time to wait, or nullopt while too few answers were observed.
  [[nodiscard]] auto Delay(const Workload& workload) const
      -> std::optional<Duration>;

 private:
  // A quantile estimate that moves by a small step towards each observation.
  struct Quantile {
    double microseconds = 0.0;
    double count = 0.0;
  };

  std::map<Workload, Quantile> quantiles_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_ROUTING_HEDGE_TIMER_H_
