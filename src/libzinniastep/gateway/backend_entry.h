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

// A backend server's entry in the platform's list, as it announced itself.
struct BackendEntry {
  BackendServerId id;
  ServiceId service;
  // Numeric "address:port".
  std::string address;
  FailureDomainId domain;
  // Version of its software or weights, as roll-outs name it.
  std::string version;
  std::uint32_t slots = 0;
  // The server announced that it is shutting down.
  bool draining = false;
  // Remaining duration of the cold start, from when the entry was read.
  Duration cold_left{0};
  // Start time in milliseconds since 1970 by the server's own clock;
  // distinguishes two incarnations under one name.
  std::uint64_t started = 0;
  // Number of the announcement by this incarnation; a lower one is older.
  std::uint64_t sequence = 0;

  auto operator==(const BackendEntry&) const -> bool = default;
};

// A backend server that this host may use.
struct UsableBackend {
  BackendEntry entry;
  // Time at which the cold start ends.
  Instant cold_until;
};

// An operator's order to roll out a version of a service.
struct RolloutOrder {
  ServiceId service;
  std::string target_version;
  // How long the roll-out may take.
  Duration duration{0};
};

// State of a roll-out.
enum class RolloutState : std::uint8_t { kRunning, kComplete, kReverted };

// How new requests of a service are split between versions during a roll-out.
struct RolloutSplit {
  ServiceId service;
  std::string target_version;
  // Share of the sessions that use the target, in [0, 1]. A session's position
  // in [0, 1) is fixed, so that a growing share only moves sessions forward.
  double target_share = 0.0;
  // Identifies the order, so that another order selects other sessions first.
  std::uint64_t order = 0;
  // Share from `next_from` on, sent ahead so that all hosts change together.
  double next_share = 0.0;
  Instant next_from;
};

// Address at which a peer serves callers.
struct FrontAddress {
  // Numeric "address:port".
  std::string address;
  FailureDomainId domain;
  RegionId region;
  // Callers are directed to this address; others are on standby.
  bool preferred = true;
};

class TrafficPolicy;

// All inputs to the decisions of the traffic thread; replaced as a whole.
struct TrafficView {
  // Null until the first configuration is known.
  std::shared_ptr<const TrafficPolicy> policy;
  std::vector<UsableBackend> backends;
  std::set<FailureDomainId> evacuated;
  std::vector<RolloutSplit> splits;
  std::vector<FrontAddress> fronts;
  // Number of hosts that share the limits of the fleet, including this one: the
  // highest number that was live at a time, since lost hosts may still be
  // running without being visible.
  std::size_t sharing_hosts = 1;
  // Failure domains and their regions.
  std::vector<std::pair<FailureDomainId, RegionId>> regions;
  // Requests per second that this host may send to a backend server in cold
  // start; a cold server without an entry receives none.
  std::map<BackendServerId, double> cold_rates;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_BACKEND_ENTRY_H_
