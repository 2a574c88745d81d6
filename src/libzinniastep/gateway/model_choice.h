#ifndef LIBZINNIASTEP_GATEWAY_MODEL_CHOICE_H_
#define LIBZINNIASTEP_GATEWAY_MODEL_CHOICE_H_

#include <cstdint>

#include "libzinniastep/base/time.h"

namespace zinniastep {

// Moving average of the time until answers of a service begin, measured on this
// host. It reveals overloaded servers sooner than their load reports, which a
// host of a large fleet receives only every few seconds.
class AnswerDelay {
 public:
  // Records that an answer began after a fraction of its latency target.
  auto RecordAnswerStart(Instant now, double part_of_target) -> void;
  // Returns the average of the last answers, whatever their age.
  [[nodiscard]] auto lateness() const -> double { return plain_; }
  // Returns the average, which falls to zero while no answers begin.
  [[nodiscard]] auto LatenessAt(Instant now) const -> double;

 private:
  // Returns the weight that the answers until `recorded_at_` still have.
  [[nodiscard]] auto WeightAt(Instant now) const -> double;

  double plain_ = 0.0;
  double lateness_ = 0.0;
  Instant recorded_at_;
};

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
