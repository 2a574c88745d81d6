#ifndef LIBZINNIASTEP_BASE_TIME_H_
#define LIBZINNIASTEP_BASE_TIME_H_

#include <chrono>

namespace zinniastep {

// Length of time in the control core, in microseconds.
using Duration = std::chrono::microseconds;

// The clock of the control core. It has no now(): the time arrives with each
// event, so that the core behaves the same in a test and in a daemon.
struct ControlClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<ControlClock>;
};

// A point on one process's monotonic time line. Values of different processes
// must never be compared.
using Instant = ControlClock::time_point;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_BASE_TIME_H_
