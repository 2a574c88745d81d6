#ifndef LIBZINNIASTEP_GATEWAY_BACKEND_ENTRY_H_
#define LIBZINNIASTEP_GATEWAY_BACKEND_ENTRY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"

namespace zinniastep {

// What a backend server says of itself in the platform's list.
struct BackendEntry {
  BackendServerId id;
  ServiceId service;
  // Numeric "address:port".
  std::string address;
  FailureDomainId domain;
  // Version of its software or weights, as roll-outs name it.
  std::string version;
  std::uint32_t slots = 0;
  // It announced that it leaves.
  bool draining = false;
  // How much longer it is cold, from when this was read.
  Duration cold_left{0};
  // Milliseconds since 1970 at its start by its own clock; tells two
  // incarnations under one name apart.
  std::uint64_t started = 0;
  // Counts what this incarnation has said; a lower one is older news.
  std::uint64_t sequence = 0;

  auto operator==(const BackendEntry&) const -> bool = default;
};

// A backend server that may be used, as this host sees it now.
struct UsableBackend {
  BackendEntry entry;
  // It is cold until then.
  Instant cold_until;
};

// What operators ask of a service's versions.
struct RolloutOrder {
  ServiceId service;
  std::string target_version;
  // How long the roll-out may take.
  Duration duration{0};
};

// How far a roll-out is.
enum class RolloutState : std::uint8_t { kRunning, kComplete, kReverted };

// How new work of a service is split while a roll-out lasts.
struct RolloutSplit {
  ServiceId service;
  std::string target_version;
  // Part of the sessions that go to the target, in [0, 1]. A session's place
  // in [0, 1) is fixed, so that a growing part only moves sessions forward.
  double target_share = 0.0;
  // Names the order, so that another order draws other sessions.
  std::uint64_t order = 0;
  // The share from a time on, told ahead so that hosts change together.
  double next_share = 0.0;
  Instant next_from;
};

// Where a peer serves callers.
struct FrontAddress {
  // Numeric "address:port".
  std::string address;
  FailureDomainId domain;
  RegionId region;
  // Callers are sent to it; the others stand by.
  bool preferred = true;
};

class TrafficPolicy;

// All that the traffic thread needs to decide; replaced as a whole.
struct TrafficView {
  // Null until the first configuration is known.
  std::shared_ptr<const TrafficPolicy> policy;
  std::vector<UsableBackend> backends;
  std::set<FailureDomainId> evacuated;
  std::vector<RolloutSplit> splits;
  std::vector<FrontAddress> fronts;
  // Hosts that share what the fleet may do together, this one included: the
  // most that were live at a time, since lost ones may go on unseen.
  std::size_t sharing_hosts = 1;
  // Failure domains and their regions.
  std::vector<std::pair<FailureDomainId, RegionId>> regions;
  // Requests a second that this host may send to a backend server while it is
  // cold; none where it is absent.
  std::map<BackendServerId, double> cold_rates;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_BACKEND_ENTRY_H_
