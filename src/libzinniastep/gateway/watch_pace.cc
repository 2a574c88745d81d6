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

auto Part(Duration time, double part, std::size_t order) -> Duration {
  const auto wait = std::chrono::duration_cast<Duration>(time * part) *
                    (std::int64_t{1} << std::min(order, kMostDoublings));
  return std::clamp<Duration>(wait, kLeastWait, kMostWait);
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
  const bool is_alone = readers == StoreReaders::kAll;
  return {Part(time, is_alone ? kShortestAlone : kShortestForOthers, order),
          Part(time, is_alone ? kLongestAlone : kLongestForOthers, order),
          std::clamp(std::chrono::duration_cast<Duration>(time * kSlack),
                     kLeastSlack, kMostSlack)};
}

}  // namespace zinniastep
