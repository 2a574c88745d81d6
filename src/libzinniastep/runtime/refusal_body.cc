#include "libzinniastep/runtime/refusal_body.h"

#include <chrono>

#include <nlohmann/json.hpp>

namespace zinniastep {

auto ToString(RunState state) -> std::string_view {
  switch (state) {
    case RunState::kNotRun:
      return "not_run";
    case RunState::kRan:
      return "ran";
    case RunState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

auto RefusalBody(const Refusal& refusal) -> std::string {
  const auto retry_after =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          refusal.retry_after);
  const nlohmann::json body = {{"error",
                                {{"code", refusal.code},
                                 {"message", refusal.message},
                                 {"run_state", ToString(refusal.run_state)},
                                 {"retry_after_ms", retry_after.count()}}}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace zinniastep
