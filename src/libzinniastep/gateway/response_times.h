#ifndef LIBZINNIASTEP_GATEWAY_RESPONSE_TIMES_H_
#define LIBZINNIASTEP_GATEWAY_RESPONSE_TIMES_H_

#include <cstdint>
#include <string_view>

#include "libzinniastep/base/time.h"

namespace zinniastep {

// How fast a backend server sent the beginning of one streamed answer.
struct ResponseTimes {
  // The model that answered; times of different models are not compared.
  std::string_view model;
  // Time from the send to the first event that an idle server of usual speed
  // needs.
  Duration expected_first{0};
  // Time from the send to the first event. Zero if it is not to be judged.
  Duration first_event{0};
  // Events after the first one that were measured, and the time that they took.
  std::uint32_t later_events = 0;
  Duration later{0};
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_RESPONSE_TIMES_H_
