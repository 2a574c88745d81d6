#include "tests/support/rollout_simulation.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "libzinniastep/base/random.h"
#include "libzinniastep/gateway/answer_clock.h"
#include "tests/support/gateway_samples.h"

namespace zinniastep::testing {

auto Order() -> RolloutRecord {
  RolloutRecord record;
  record.name = "pool";
  record.revision = 40;
  record.created = 40;
  record.order = {ServiceId("pool"), "v2",
                  std::chrono::milliseconds(kDurationMs)};
  return record;
}

auto Share(const RolloutGuard& guard) -> double {
  return guard.splits().at(0).target_share;
}

auto SimulateDelays(const SlowTarget& target,
                    const AnswerHold& hold,
                    std::int64_t duration_ms,
                    std::uint64_t seed) -> DelayResult {
  constexpr std::int64_t kRequestIntervalMs = 30;
  Random random(seed);
  Random held(seed);
  RolloutGuard guard;
  RolloutRecord record = Order();
  record.order.duration = std::chrono::milliseconds(duration_ms);
  guard.Update(At(0), {record});
  VersionEvidence evidence;
  AnswerClock clock(evidence);
  std::multimap<std::int64_t, std::pair<AnswerClock::SendId, bool>> answers;
  DelayResult result;
  for (std::int64_t time = 0; time < duration_ms; time += kRequestIntervalMs) {
    for (auto due = answers.begin();
         due != answers.end() && due->first <= time;) {
      clock.OnAnswer(At(due->first), due->second.first);
      evidence[{ServiceId("pool"), due->second.second ? "v2" : "v1", "r"}]
          .answers += 1;
      due = answers.erase(due);
    }
    const bool to_target = random.Unit() < Share(guard);
    double delay = 40.0 * std::pow(4.0, random.Unit());
    if (to_target && random.Unit() < target.share && time >= target.from) {
      delay *= target.factor;
    }
    const auto send =
        clock.Begin(At(time), {ServiceId("pool"), to_target ? "v2" : "v1", "r"},
                    std::chrono::milliseconds(60));
    std::int64_t answer_at = time + static_cast<std::int64_t>(delay);
    const bool meets_hold = answer_at >= hold.from && answer_at < hold.until;
    if (held.Unit() < hold.share && meets_hold) {
      answer_at = std::max(answer_at, hold.until);
    }
    answers.emplace(answer_at, std::pair(send, to_target));
    ++result.requests;
    result.exposed += to_target ? 1 : 0;
    clock.Advance(At(time));
    guard.Evaluate(At(time), evidence);
    const auto due = guard.DueWrites();
    if (!due.empty() && due[0].state != RolloutState::kRunning) {
      result.state = due[0].state;
      result.decided_at = time;
      break;
    }
  }
  return result;
}

}  // namespace zinniastep::testing
