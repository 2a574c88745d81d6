#ifndef LIBZINNIASTEP_GATEWAY_SHUTDOWN_DECISION_H_
#define LIBZINNIASTEP_GATEWAY_SHUTDOWN_DECISION_H_

#include <optional>

#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/forward_decision.h"
#include "libzinniastep/gateway/request_durations.h"

namespace zinniastep {

// Returns whether a request that arrives during a shutdown should be taken:
// whether its answer can be expected by `end`, when the host ends what is
// unfinished. A request that may not run twice is judged by the longest recent
// duration, since its caller cannot send it again, and others by the mean.
// Without `usual` only a request with an earlier deadline is taken.
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
