#ifndef LIBZINNIASTEP_GATEWAY_SERVER_CHOOSER_H_
#define LIBZINNIASTEP_GATEWAY_SERVER_CHOOSER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/backend_entry.h"
#include "libzinniastep/gateway/forward_decision.h"

namespace zinniastep {

// What a request needs of a backend server.
struct ServerNeed {
  ServiceId service;
  // Hash of the prompt's shared parts and the model; zero without any.
  std::uint64_t affinity = 0;
  // Work in milliseconds that a server saves when it has the shared parts.
  double affinity_gain_ms = 0.0;
  // Places the request's session in a roll-out.
  std::uint64_t session = 0;
  // Regions that may serve it; empty means all.
  std::span<const RegionId> regions;
  std::span<const RegionId> account_regions;
  // The target of a roll-out failed the request before.
  bool avoid_target = false;
  // Servers that were tried already.
  std::span<const BackendServerId> tried;
};

// Why no server was chosen.
enum class NoServerReason : std::uint8_t {
  // None is listed that may serve it.
  kNone,
  // Those that may are cold and have had what they bear.
  kColdLimit,
  // Those that may are full.
  kFull,
};

// What a backend server said of its load.
struct ServerLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

// Picks a backend server for each request by the expected work in the way:
// what runs and waits there, what of the prompt it would have to read anew,
// how far it is, and how it fared lately. What it knows of load is this host's
// own requests and what answers tell; the second fades, since it grows old.
class ServerChooser {
 public:
  ServerChooser(HostId self, FailureDomainId domain, RegionId region);

  // Takes a newer view. Knowledge of servers that are gone is dropped.
  auto SetView(Instant now, std::shared_ptr<const TrafficView> view) -> void;

  // Returns a server of the current view or the reason why there is none. A
  // cold server's limit is charged by this call.
  [[nodiscard]] auto Choose(Instant now, const ServerNeed& need)
      -> const UsableBackend*;
  [[nodiscard]] auto reason() const -> NoServerReason { return reason_; }

  // A request begins to go, and ends.
  auto OnBegin(const BackendServerId& server) -> void;
  auto OnEnd(Instant now, const BackendServerId& server) -> void;
  // What a send told about the server.
  auto OnOutcome(Instant now,
                 const BackendServerId& server,
                 SendOutcome outcome) -> void;
  auto OnLoad(Instant now,
              const BackendServerId& server,
              const ServerLoad& load) -> void;
  // Bytes came from the server.
  auto OnProgress(Instant now, const BackendServerId& server) -> void;

  // Returns whether the server has open requests and none of them got a byte
  // for the given time.
  [[nodiscard]] auto IsSilent(Instant now,
                              const BackendServerId& server,
                              Duration time) const -> bool;

  // Returns the running and waiting requests for each place of a service's
  // usable servers, as estimated: 1 is full.
  [[nodiscard]] auto Utilization(Instant now, const ServiceId& service) const
      -> double;

  // Returns whether a server may still be sent new work.
  [[nodiscard]] auto IsUsable(const BackendServerId& server) const -> bool;

 private:
  struct Knowledge {
    std::uint64_t started = 0;
    std::uint32_t open = 0;
    // Others' requests there when it last told its load.
    double others = 0.0;
    double waiting = 0.0;
    Instant load_at;
    // Share of recent sends that failed, fading.
    double failures = 0.0;
    std::uint32_t failures_in_row = 0;
    Instant avoid_until;
    // It was reached and broke its answer, so that it may be used before then
    // when no other one can be had.
    bool broke_answer = false;
    Instant last_progress;
    // Cold limit: what may still go in now, and when that was worked out.
    // A new incarnation begins with none: requests to the one before may have
    // reached it.
    double cold_tokens = 0.0;
    Instant cold_at;
    // It could not be reached, so that it may come back as another, cold
    // incarnation before the list says so.
    Instant maybe_cold_until;
    bool unreachable = false;
    // The pace that is kept with warm servers while there are others.
    double pace_tokens = 1.0;
    Instant pace_at;
  };

  [[nodiscard]] auto InRegions(const UsableBackend& backend,
                               std::span<const RegionId> regions) const -> bool;
  [[nodiscard]] auto MayServe(Instant now,
                              const UsableBackend& backend,
                              const ServerNeed& need,
                              bool target_is_out) const -> bool;
  // Whether the server is left alone now. `last_resort` is whether one that was
  // reached counts as well.
  [[nodiscard]] auto IsAvoided(Instant now,
                               const BackendServerId& server,
                               bool last_resort) const -> bool;
  // While a roll-out lasts, a session belongs to the target or to the versions
  // before it. When no server of the target can be had, `target_is_out` lets
  // its sessions use the versions before.
  [[nodiscard]] auto AllowedBySplit(const UsableBackend& backend,
                                    const ServerNeed& need,
                                    Instant now,
                                    bool target_is_out) const -> bool;
  [[nodiscard]] auto Candidates(Instant now,
                                const ServerNeed& need,
                                bool last_resort) const
      -> std::vector<const UsableBackend*>;
  // Returns the cheapest of the candidates that has a place, and takes it.
  [[nodiscard]] auto ChooseFrom(
      Instant now,
      const ServerNeed& need,
      const std::vector<const UsableBackend*>& candidates)
      -> const UsableBackend*;
  [[nodiscard]] auto Load(Instant now, const BackendServerId& id) const
      -> double;
  [[nodiscard]] auto Cost(Instant now,
                          const UsableBackend& backend,
                          const ServerNeed& need,
                          const BackendServerId& preferred) const -> double;
  [[nodiscard]] auto RegionOf(const FailureDomainId& domain) const -> RegionId;
  // Charges one request to a server's limit. Warm servers have none, but for
  // the pace, which `any_pace` waives.
  auto TakePlace(Instant now, const UsableBackend& backend, bool any_pace)
      -> bool;
  [[nodiscard]] auto IsCold(Instant now,
                            const UsableBackend& backend,
                            const Knowledge& knowledge) const -> bool;
  [[nodiscard]] auto Preferred(const std::vector<const UsableBackend*>& from,
                               const ServerNeed& need) const -> BackendServerId;

  HostId self_;
  FailureDomainId domain_;
  RegionId region_;
  std::shared_ptr<const TrafficView> view_;
  std::map<BackendServerId, Knowledge> knowledge_;
  NoServerReason reason_ = NoServerReason::kNone;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_SERVER_CHOOSER_H_
