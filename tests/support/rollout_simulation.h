#ifndef TESTS_SUPPORT_ROLLOUT_SIMULATION_H_
#define TESTS_SUPPORT_ROLLOUT_SIMULATION_H_

#include <cstdint>

#include "libzinniastep/gateway/rollout_guard.h"

namespace zinniastep::testing {

inline constexpr std::int64_t kDurationMs = 24'000;

// An order to move the service "pool" to "v2" within kDurationMs.
[[nodiscard]] auto Order() -> RolloutRecord;

// The share of the sessions that use the target.
[[nodiscard]] auto Share(const RolloutGuard& guard) -> double;

// Result of a simulated roll-out at 33 requests a second, some of which are
// answered later.
struct DelayResult {
  RolloutState state = RolloutState::kRunning;
  std::uint64_t requests = 0;
  std::uint64_t exposed = 0;
  std::int64_t decided_at = 0;
};

struct SlowTarget {
  // Share of the target's requests that take `factor` times as long.
  double share = 0.0;
  double factor = 1.0;
  // When it becomes slow, in milliseconds since the order.
  std::int64_t from = 0;
};

// Answers of all versions that are held back for a while, in milliseconds since
// the order.
struct AnswerHold {
  std::int64_t from = 0;
  std::int64_t until = 0;
  // Share of the requests that are held, whatever their version.
  double share = 0.0;
};

// Answers begin after 40 to 160 ms if the server is not slow; the expected time
// of all is 60 ms.
[[nodiscard]] auto SimulateDelays(const SlowTarget& target,
                                  const AnswerHold& hold,
                                  std::int64_t duration_ms,
                                  std::uint64_t seed) -> DelayResult;

}  // namespace zinniastep::testing

#endif  // TESTS_SUPPORT_ROLLOUT_SIMULATION_H_
