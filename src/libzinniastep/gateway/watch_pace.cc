#include "libzinniastep/gateway/watch_pace.h"

#include <algorithm>
#include <cstdint>

namespace zinniastep {

namespace {

// Parts of the time after which a change has to be in effect. A lost change is
// found after the longest wait and the slack, and then takes one list of the
// store. Where few hosts read for all, the rest of the time is for the way from
// peer to peer.
constexpr double kShortestAlone = 0.45;
constexpr double kLongestAlone = 0.65;
constexpr double kShortestForOthers = 0.25;
constexpr double kLongestForOthers = 0.4;
constexpr double kSlack = 0.2;
// A store that works answers well within this time, however slow it is.
constexpr Duration kLeastSlack = std::chrono::milliseconds(400);
constexpr Duration kMostSlack = std::chrono::milliseconds(1500);
// Shorter waits would be polling. Longer ones would leave a reader whose own
// connection is dead to its peers for too long.
constexpr Duration kLeastWait = std::chrono::milliseconds(250);
constexpr Duration kMostWait = std::chrono::seconds(20);
constexpr std::size_t kMostDoublings = 8;
// Where few hosts read for all, their answers also tell that the store is
// there, and other hosts take over after three seconds without one.
constexpr Duration kMostWaitForOthers = std::chrono::seconds(2);

auto Doubled(Duration wait, std::size_t order) -> Duration {
  return std::clamp<Duration>(
      wait * (std::int64_t{1} << std::min(order, kMostDoublings)), kLeastWait,
      kMostWait);
}

auto Part(Duration time, double part) -> Duration {
  return std::chrono::duration_cast<Duration>(time * part);
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

auto WatchPaceFor(Duration time, StoreReaders readers, std::size_t order)
    -> WatchPace {
  const Duration slack =
      std::clamp(Part(time, kSlack), kLeastSlack, kMostSlack);
  if (readers == StoreReaders::kAll) {
    return {Doubled(Part(time, kShortestAlone), order),
            Doubled(Part(time, kLongestAlone), order), slack};
  }
  const Duration longest =
      std::min(Part(time, kLongestForOthers), kMostWaitForOthers);
  const Duration shortest =
      std::min(Part(time, kShortestForOthers), kMostWaitForOthers / 2);
  return {Doubled(shortest, order), Doubled(longest, order), slack};
}

}  // namespace zinniastep
