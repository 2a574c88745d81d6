#ifndef LIBZINNIASTEP_CORE_CALL_H_
#define LIBZINNIASTEP_CORE_CALL_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"

namespace zinniastep {

// Numbers a caller's open HTTP exchange within one process.
using CallId = std::uint64_t;

// What is known at the end about whether a request's effect took place.
enum class RunState : std::uint8_t { kNotRun, kRan, kUnknown };

// Urgency that a caller gives its request. Lower values are shed first.
enum class Priority : std::uint8_t { kLow, kNormal, kHigh };

// A request to a model.
struct ChatCall {
  // The caller's "model" member: a model, "model@version", a cascade, "auto".
  std::string model;
  TaskClassId task_class;
  std::uint32_t prompt_tokens = 0;
  // Hash of the prompt's leading part, for prefix-cache affinity.
  std::uint64_t prefix_hash = 0;
  bool stream = false;
};

// A request to a plain service.
struct ServiceCall {
  ServiceId service;
  std::string method;
  std::string path;
};

using CallTarget = std::variant<ChatCall, ServiceCall>;

// Body of a whole answer, shared between replays.
struct Answer {
  std::uint16_t status = 0;
  std::string content_type;
  std::string body;
};

using SharedAnswer = std::shared_ptr<const Answer>;

// Why a request is refused, as the caller reads it.
struct Refusal {
  std::uint16_t status = 503;
  // Stable code in snake case, listed in docs/OPERATIONS.md.
  std::string code;
  std::string message;
  RunState run_state = RunState::kNotRun;
  // When trying again may help; zero when it will not.
  Duration retry_after{0};
};

// Tokens, time and evidence of one attempt.
struct AttemptUsage {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t completion_tokens = 0;
  // Time to the first byte and to the end of the answer.
  Duration first_token{0};
  Duration total{0};
  // The engine's own confidence in the answer in [0, 1]; negative when the
  // engine gave none.
  double confidence = -1.0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CORE_CALL_H_
