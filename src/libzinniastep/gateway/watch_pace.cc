#include "libzinniastep/gateway/watch_pace.h"

#include <algorithm>
#include <cstdint>

namespace zinniastep {

namespace {

// Parts of the time after which a change has to be in effect. A host for itself
// has to list the store after the longest wait and the slack.
constexpr double kShortestForSelf = 0.5;
constexpr double kLongestForSelf = 0.65;
// For others, the rest of the time is for the way from peer to peer.
constexpr double kShortestForOthers = 0.25;
constexpr double kLongestForOthers = 0.4;
// Until a watch counts as unanswered.
constexpr double kSlack = 0.2;
// A store that works answers well within this time, however slow it is.
constexpr Duration kLeastSlack = std::chrono::milliseconds(400);
constexpr Duration kMostSlack = std::chrono::milliseconds(1500);
// Shorter waits would be polling.
constexpr Duration kLeastWait = std::chrono::milliseconds(250);
// The answers to readers for others also tell that the store is there; other
// hosts take over after three seconds without one.
constexpr Duration kMostWaitForOthers = std::chrono::seconds(2);
constexpr std::size_t kMostDoublings = 8;

auto Part(Duration time, double part) -> Duration {
  return std::chrono::duration_cast<Duration>(time * part);
}

auto SlackFor(Duration time) -> Duration {
  return std::clamp(Part(time, kSlack), kLeastSlack, kMostSlack);
}

}  // namespace

auto TimeToTakeEffect(const GatewaySettings& settings, RecordKind kind)
    -> Duration {
  switch (kind) {
    case RecordKind::kConfiguration:
      return settings.configuration_time;
    case RecordKind::kBackendServers:
      return settings.leaving_time;
    case RecordKind::kRollouts:
      return settings.rollback_time;
    case RecordKind::kEvacuations:
      return settings.evacuation_time;
  }
  return settings.configuration_time;
}

auto PaceForSelf(Duration time) -> WatchPace {
  return {std::max(Part(time, kShortestForSelf), kLeastWait),
          std::max(Part(time, kLongestForSelf), kLeastWait), SlackFor(time)};
}

auto PaceForOthers(Duration time, std::size_t order) -> WatchPace {
  const std::int64_t factor = std::int64_t{1}
                              << std::min(order, kMostDoublings);
  const Duration shortest = std::clamp(Part(time, kShortestForOthers),
                                       kLeastWait, kMostWaitForOthers / 2);
  const Duration longest =
      std::clamp(Part(time, kLongestForOthers), kLeastWait, kMostWaitForOthers);
  return {shortest * factor, longest * factor, SlackFor(time)};
}

}  // namespace zinniastep
