#ifndef LIBZINNIASTEP_GATEWAY_SHUTDOWN_DECISION_H_
#define LIBZINNIASTEP_GATEWAY_SHUTDOWN_DECISION_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/forward_decision.h"

namespace zinniastep {

// How long requests of a route take from their arrival to their answer's end.
struct RequestDuration {
  // Moving average.
  Duration mean{0};
  // Longest of the recent requests; it decays by a thirty-second with each
  // shorter one.
  Duration longest{0};
};

// Keeps the durations of answered requests by route name.
class RequestDurations {
 public:
  auto Record(std::string_view route, Duration duration) -> void;

  // Returns nullopt until a request of the route was answered.
  [[nodiscard]] auto Find(std::string_view route) const
      -> std::optional<RequestDuration>;

  // Drops the routes for which the predicate is false.
  auto KeepIf(const std::function<bool(const std::string&)>& keep) -> void;

 private:
  std::map<std::string, RequestDuration, std::less<>> by_route_;
};

// Returns whether a request that arrives during a shutdown should be taken: its
// answer can be expected by `end`, when the host ends what is unfinished. One
// that may not run twice is judged by the longest recent duration, since
// its caller cannot send it again; for others the mean decides. Without any
// duration of the route, only a request whose deadline is before `end` is
// taken.
[[nodiscard]] auto CanFinishBy(Instant end,
                               Instant now,
                               const ForwardProgress& progress,
                               const std::optional<RequestDuration>& usual)
    -> bool;

// Returns how a request that is unfinished when a shutdown's time is over is
// ended: RefuseNotRun, ReportUnknown or AbortAnswer. `is_sent` is whether bytes
// of the send under way may have left this host.
[[nodiscard]] auto EndUnfinished(const ForwardProgress& progress, bool is_sent)
    -> NextStep;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_SHUTDOWN_DECISION_H_
