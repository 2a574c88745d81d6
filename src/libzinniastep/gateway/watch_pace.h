#ifndef LIBZINNIASTEP_GATEWAY_WATCH_PACE_H_
#define LIBZINNIASTEP_GATEWAY_WATCH_PACE_H_

#include <cstddef>

#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/gateway_settings.h"
#include "libzinniastep/gateway/record_mirror.h"

namespace zinniastep {

// How long a host waits for news of the store before it asks again. All times
// follow from the time after which a change has to be in effect, so that one
// whose event or answer was lost still is in effect by then.
struct WatchPace {
  Duration shortest_wait{0};
  Duration longest_wait{0};
  // A watch counts as unanswered this long after its wait.
  Duration slack{0};
};

// Returns the time after which a change of the kind has to be in effect.
[[nodiscard]] auto TimeToTakeEffect(const GatewaySettings& settings,
                                    RecordKind kind) -> Duration;

// Returns the pace of a host that reads the store for itself, for changes that
// have to be in effect after `time`. It relies on no other host.
[[nodiscard]] auto PaceForSelf(Duration time) -> WatchPace;

// Returns the pace of a host that reads the store for others too. The first
// reader of a region, of order zero, finds a lost change in time for all. Each
// next one waits twice as long.
[[nodiscard]] auto PaceForOthers(Duration time, std::size_t order) -> WatchPace;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_WATCH_PACE_H_
