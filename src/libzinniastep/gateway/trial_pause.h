#ifndef LIBZINNIASTEP_GATEWAY_TRIAL_PAUSE_H_
#define LIBZINNIASTEP_GATEWAY_TRIAL_PAUSE_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "libzinniastep/base/time.h"

namespace zinniastep {

// What is known of parts that are held.
struct HoldState {
  // Ends of servers that convict the parts.
  std::size_t endings = 0;
  // Trials that were made.
  std::uint32_t trials = 0;
  // Only repeats of one request are held.
  bool is_one_request = false;
};

// Returns the time from the last end or trial to the next trial. There is none
// after the last one, since each trial of a part that still crashes servers
// takes another one down.
[[nodiscard]] auto TrialPause(const HoldState& state)
    -> std::optional<Duration>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_TRIAL_PAUSE_H_
