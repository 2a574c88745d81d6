#ifndef LIBZINNIASTEP_TRAFFIC_FORWARDER_LIMITS_H_
#define LIBZINNIASTEP_TRAFFIC_FORWARDER_LIMITS_H_

#include <chrono>
#include <cstdint>

#include "libzinniastep/base/time.h"
#include "libzinniastep/traffic/forwarder.h"

namespace zinniastep {

// A request that no server may take now waits for this part of its target.
inline constexpr int kServerWaitPart = 8;
inline constexpr Duration kServerPoll = std::chrono::milliseconds(20);
// The same for an answer that has begun, after a while without a server.
inline constexpr Duration kLongServerPoll = std::chrono::milliseconds(100);
// Tokens of a prompt that an engine reads in a millisecond, for what a cached
// part saves and what a prompt is expected to take.
inline constexpr double kPromptTokensPerMs = 20.0;
// Callers that find another host ready to take them.
inline constexpr ReturnTime kReturnElsewhere{Duration(0),
                                             std::chrono::milliseconds(100)};

// Returns a duration in whole milliseconds, for the log.
[[nodiscard]] inline auto Milliseconds(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_TRAFFIC_FORWARDER_LIMITS_H_
