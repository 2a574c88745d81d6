#ifndef LIBZINNIASTEP_RUNTIME_REFUSAL_BODY_H_
#define LIBZINNIASTEP_RUNTIME_REFUSAL_BODY_H_

#include <string>
#include <string_view>

#include "libzinniastep/core/call.h"

namespace zinniastep {

// Returns "not_run", "ran" or "unknown".
[[nodiscard]] auto ToString(RunState state) -> std::string_view;

// Returns a refusal as the JSON that callers get.
[[nodiscard]] auto RefusalBody(const Refusal& refusal) -> std::string;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_REFUSAL_BODY_H_
