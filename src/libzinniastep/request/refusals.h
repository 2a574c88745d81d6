#ifndef LIBZINNIASTEP_REQUEST_REFUSALS_H_
#define LIBZINNIASTEP_REQUEST_REFUSALS_H_

#include "libzinniastep/core/call.h"

namespace zinniastep {

// The refusals of this aggregate. Those without a parameter say "not run",
// except that RefusedCutByShutdown says "unknown".
[[nodiscard]] auto RefusedDraining() -> Refusal;
[[nodiscard]] auto RefusedWithoutNews() -> Refusal;
[[nodiscard]] auto RefusedUnauthenticated() -> Refusal;
[[nodiscard]] auto RefusedNotAllowed() -> Refusal;
[[nodiscard]] auto RefusedUnknownModel() -> Refusal;
[[nodiscard]] auto RefusedUnknownService() -> Refusal;
[[nodiscard]] auto RefusedWithdrawn() -> Refusal;
[[nodiscard]] auto RefusedDeadline(RunState state) -> Refusal;
[[nodiscard]] auto RefusedNoCapacity(RunState state) -> Refusal;
[[nodiscard]] auto RefusedBackendFailed(RunState state) -> Refusal;
[[nodiscard]] auto RefusedCut(RunState state) -> Refusal;
[[nodiscard]] auto RefusedCutByShutdown() -> Refusal;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_REQUEST_REFUSALS_H_
