#ifndef LIBZINNIASTEP_GATEWAY_MODEL_LADDER_H_
#define LIBZINNIASTEP_GATEWAY_MODEL_LADDER_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "libzinniastep/base/time.h"

namespace zinniastep {

// What the choice of a model depends on.
struct LadderState {
  // Models that may answer, smallest first.
  std::size_t models = 0;
  // Requests for each place of the service's servers; 1 is full.
  double utilization = 0.0;
  // How long answers of the service have lately taken to begin, as a part of
  // the target.
  double lateness = 0.0;
  // Sends that the request may still use, the next one included.
  std::uint32_t sends_left = 1;
};

// How long answers of a service take to begin, as this host sees it. It tells
// of crowded servers sooner than their own word does, which a host of a large
// fleet hears every few seconds only.
class AnswerDelay {
 public:
  // An answer began after a part of its target.
  auto OnBegin(double part_of_target) -> void;
  [[nodiscard]] auto lateness() const -> double { return lateness_; }

 private:
  double lateness_ = 0.0;
};

// Returns the position of the model that a request begins with: the smallest,
// whose opinion of its own answer costs little and comes before its first
// event.
[[nodiscard]] auto FirstModel(const LadderState& state) -> std::size_t;

// Returns the position of the model that should answer in place of one whose
// opinion of its own answer is known, or nothing when that answer stands.
[[nodiscard]] auto NextModel(const LadderState& state,
                             std::size_t model,
                             std::uint32_t confidence)
    -> std::optional<std::size_t>;

// Returns whether another model's answer can begin in time, when the first one
// took this long to begin. One that is at hand is worth more than a better one
// that comes too late.
[[nodiscard]] auto LeavesTimeForAnother(Duration first_took, Duration left)
    -> bool;

// Returns how urgent a request of a priority is at an engine, from 0 (first)
// to 9. Priority 0 keeps a step in reserve for work that was begun elsewhere.
[[nodiscard]] auto EngineUrgency(std::uint32_t priority) -> std::uint32_t;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_MODEL_LADDER_H_
