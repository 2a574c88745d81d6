#ifndef LIBZINNIASTEP_GATEWAY_MODEL_CHOICE_H_
#define LIBZINNIASTEP_GATEWAY_MODEL_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "libzinniastep/base/time.h"

namespace zinniastep {

// Inputs to the choice of a model.
struct ModelChoiceInputs {
  // Models that may answer, smallest first.
  std::size_t models = 0;
  // Ratio of requests to slots of the service's servers; 1 means full.
  double utilization = 0.0;
  // Recent time until answers of the service began, as a fraction of the
  // latency target.
  double lateness = 0.0;
  // Sends that the request may still use, the next one included.
  std::uint32_t sends_left = 1;
};

// Moving average of the time until answers of a service begin, measured on this
// host. It reveals overloaded servers sooner than their load reports, which a
// host of a large fleet receives only every few seconds.
class AnswerDelay {
 public:
  // Records that an answer began after a fraction of its latency target.
  auto RecordAnswerStart(double part_of_target) -> void;
  [[nodiscard]] auto lateness() const -> double { return lateness_; }

 private:
  double lateness_ = 0.0;
};

// Returns the index of the model that receives a request first: the smallest,
// whose confidence in its own answer costs little and arrives before its first
// event.
[[nodiscard]] auto FirstModel(const ModelChoiceInputs& state) -> std::size_t;

// Returns the index of the model that should answer instead of `model`, which
// reported `confidence` in its own answer, or nullopt to keep that answer.
[[nodiscard]] auto NextModel(const ModelChoiceInputs& state,
                             std::size_t model,
                             std::uint32_t confidence)
    -> std::optional<std::size_t>;

// Returns whether another model's answer can begin in the time `left` if the
// first one took `first_took` to begin. An available answer is worth more than
// a better one that arrives too late.
[[nodiscard]] auto LeavesTimeForAnother(Duration first_took, Duration left)
    -> bool;

// Maps a request's priority to the urgency at an engine, from 0 (first) to 9.
// Urgency 0 is reserved for work that was begun at another server; priority 0
// maps to 1.
[[nodiscard]] auto EngineUrgency(std::uint32_t priority) -> std::uint32_t;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_MODEL_CHOICE_H_
