#ifndef LIBZINNIASTEP_TRAFFIC_OPERATOR_PAGE_H_
#define LIBZINNIASTEP_TRAFFIC_OPERATOR_PAGE_H_

#include <string>
#include <vector>

#include "libzinniastep/runtime/metrics.h"
#include "libzinniastep/traffic/caller_connection.h"
#include "libzinniastep/traffic/traffic_engine.h"

namespace zinniastep {

// Answers operators at a gateway host's metrics address:
//   GET /held-parts            the held prompt parts, as JSON
//   DELETE /held-parts/PART    releases a part; needs an operator's proof
//   any other GET              the metrics
// Used on the traffic thread only.
class OperatorPage {
 public:
  // The proof is made with one of the keys.
  OperatorPage(TrafficEngine& engine,
               const Metrics& metrics,
               std::vector<std::string> keys);

  // `unix_seconds` is the time of the call.
  auto Answer(const CallerRequest& request, std::int64_t unix_seconds)
      -> WholeAnswer;

 private:
  auto HeldPartsJson() -> std::string;
  auto Release(const CallerRequest& request, std::int64_t unix_seconds)
      -> WholeAnswer;

  TrafficEngine& engine_;
  const Metrics& metrics_;
  std::vector<std::string> keys_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_TRAFFIC_OPERATOR_PAGE_H_
