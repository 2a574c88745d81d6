#ifndef LIBZINNIASTEP_GATEWAY_SERVER_CHOOSER_H_
#define LIBZINNIASTEP_GATEWAY_SERVER_CHOOSER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/backend_entry.h"
#include "libzinniastep/gateway/forward_decision.h"
#include "libzinniastep/gateway/leaving_servers.h"
#include "libzinniastep/gateway/response_times.h"
#include "libzinniastep/gateway/server_performance.h"
#include "libzinniastep/gateway/service_performance.h"

namespace zinniastep {

// Constraints and placement hints of a request for the choice of a backend
// server.
struct ServerNeed {
  ServiceId service;
  // Hash of the prompt's shared parts and the model; zero if the prompt has no
  // shared parts.
  std::uint64_t affinity = 0;
  // Work in milliseconds that a server saves if it has the shared parts cached.
  double affinity_gain_ms = 0.0;
  // Milliseconds until the first event on an idle server of usual speed that
  // has no part of the prompt cached.
  double work_ms = 0.0;
  // Prompt and output tokens that the request holds on its server.
  double tokens = 0.0;
  // Session hash, which decides the version that serves the session during a
  // roll-out.
  std::uint64_t session = 0;
  // Regions that may serve the request; empty means all.
  std::span<const RegionId> regions;
  std::span<const RegionId> account_regions;
  // A server of the roll-out's target version already failed the request.
  bool avoid_target = false;
  // Servers that were tried already.
  std::span<const BackendServerId> tried;
  // If not empty, only these servers may be chosen, also if sends to them
  // failed a short time ago.
  std::span<const BackendServerId> among;
};

// Why no server was chosen.
enum class NoServerReason : std::uint8_t {
  // No listed server may serve the request.
  kNoEligibleServer,
  // All eligible servers said that they leave.
  kLeaving,
  // Sends to all eligible servers failed a short time ago.
  kAvoided,
  // All eligible servers have used up their cold-start limit.
  kColdLimit,
  // All eligible servers are full.
  kFull,
};

[[nodiscard]] auto ToString(NoServerReason reason) -> std::string_view;

// Load that a backend server reported.
struct ServerLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  // How long work takes at this moment as a percentage of the usual; servers
  // that share their machine state it.
  std::optional<std::uint32_t> pace_percent = std::nullopt;
};

// Chooses the backend server with the lowest estimated cost for each request.
// The cost covers the running and waiting requests, the part of the prompt that
// the server would have to read again, the distance, and recent failures.
// Load is estimated from this host's own requests and from the load reported in
// answers; the weight of a report decays with its age. If servers of the
// service state their pace, the cost is the expected time until the first event
// at the server's pace and speed, and servers without memory for the request
// come last.
class ServerChooser {
 public:
  ServerChooser(HostId self, FailureDomainId domain, RegionId region);

  // Replaces the view. State of servers that are no longer listed is dropped
  // unless requests to them are open. Returns the servers that are no longer
  // taken for leaving.
  auto SetView(Instant now, std::shared_ptr<const TrafficView> view)
      -> std::vector<LeavingServers::Ended>;

  // Returns the region of a failure domain; empty if the view does not name it.
  [[nodiscard]] auto RegionOf(const FailureDomainId& domain) const -> RegionId;

  // Returns a server of the current view, or null; reason() then returns why.
  // Charges the request to a cold server's limit.
  [[nodiscard]] auto Choose(Instant now, const ServerNeed& need)
      -> const UsableBackend*;
  [[nodiscard]] auto reason() const -> NoServerReason { return reason_; }

  // Count a request to the server, and its prompt and output tokens, as open
  // from OnBegin() to OnEnd().
  auto OnBegin(const BackendServerId& server, double tokens = 0.0) -> void;
  auto OnEnd(Instant now, const BackendServerId& server, double tokens = 0.0)
      -> void;
  // Updates the failure statistics of the server with the outcome of a send.
  auto OnOutcome(Instant now,
                 const BackendServerId& server,
                 SendOutcome outcome) -> void;
  // Returns false if the stated pace is out of bounds, which is ignored.
  auto OnLoad(Instant now,
              const BackendServerId& server,
              const ServerLoad& load) -> bool;
  // Learns the server's speed from the times of a response's first events.
  auto OnEventTimes(Instant now,
                    const BackendServerId& server,
                    const ResponseTimes& times) -> void;
  // Notes that the server said that it leaves: it is not chosen again. Returns
  // whether that is news.
  auto OnLeaving(Instant now, const BackendEntry& server) -> bool;
  [[nodiscard]] auto leaving() const -> const LeavingServers& {
    return leaving_;
  }
  // Records that bytes were received from the server.
  auto OnProgress(Instant now, const BackendServerId& server) -> void;

  // Returns whether the server has open requests and none of them received a
  // byte for the given time.
  [[nodiscard]] auto IsSilent(Instant now,
                              const BackendServerId& server,
                              Duration time) const -> bool;

  // Returns the estimated ratio of running and waiting requests to slots of a
  // service's usable servers; 1 means full.
  [[nodiscard]] auto Utilization(Instant now, const ServiceId& service) const
      -> double;

  // Returns whether servers of the service have stated their pace of late,
  // which means that they share their machines with others.
  [[nodiscard]] auto IsPaced(Instant now, const ServiceId& service) const
      -> bool;

  // Returns whether a server may still be sent new work.
  [[nodiscard]] auto IsUsable(const BackendServerId& server) const -> bool;

 private:
  struct ServerState {
    std::uint64_t started = 0;
    std::uint32_t open = 0;
    // Requests of other hosts at the server, as of its last load report.
    double others = 0.0;
    double waiting = 0.0;
    Instant load_at;
    // Moving average of the share of sends that failed.
    double failure_rate = 0.0;
    std::uint32_t consecutive_failures = 0;
    Instant avoid_until;
    // The last failed send reached the server and its answer was cut off. The
    // server may be used before `avoid_until` if no other one is available.
    bool answer_interrupted = false;
    Instant last_progress;
    // Token bucket of the cold-start limit, and the time of its last refill.
    // A new incarnation begins with no tokens, since requests to the previous
    // one may have reached it.
    double cold_tokens = 0.0;
    Instant cold_refilled_at;
    // The server was unreachable and may return as a new, cold incarnation
    // before the list shows it.
    Instant assumed_cold_until;
    bool unreachable = false;
    // Token bucket that paces a warm server while other servers have room.
    double warm_tokens = 1.0;
    Instant warm_refilled_at;
    ServerPerformance performance;
    // Position of the server among near-equal ones, from 0 to 1. Hosts differ
    // in it, so that they do not all send to the same server.
    double host_order = 0.0;
  };
  // Inputs to the costs that are the same for all candidates of a decision.
  struct Decision {
    Instant now;
    BackendServerId preferred;
    // Servers of the service state their pace.
    bool is_paced = false;
    // Tokens that one server holds at once; zero if unknown.
    double memory_tokens = 0.0;
  };

  [[nodiscard]] auto InRegions(const UsableBackend& backend,
                               std::span<const RegionId> regions) const -> bool;
  [[nodiscard]] auto MayServe(Instant now,
                              const UsableBackend& backend,
                              const ServerNeed& need,
                              bool target_unavailable) const -> bool;
  // The same for a server that does not leave.
  [[nodiscard]] auto MayServeNew(Instant now,
                                 const UsableBackend& backend,
                                 const ServerNeed& need,
                                 bool target_unavailable) const -> bool;
  // Why none of the candidates was chosen, as far as the view tells.
  [[nodiscard]] auto ReasonWithoutCandidates(Instant now,
                                             const ServerNeed& need) const
      -> NoServerReason;
  // Returns whether the server is to be avoided after a failure. With
  // `last_resort` a server that was reached but cut off its answer is allowed.
  [[nodiscard]] auto IsAvoided(Instant now,
                               const BackendServerId& server,
                               bool last_resort) const -> bool;
  // During a roll-out a session is assigned to the target version or to the
  // earlier versions. If no server of the target is available,
  // `target_unavailable` lets its sessions use the earlier versions.
  [[nodiscard]] auto AllowedBySplit(const UsableBackend& backend,
                                    const ServerNeed& need,
                                    Instant now,
                                    bool target_unavailable) const -> bool;
  [[nodiscard]] auto Candidates(Instant now,
                                const ServerNeed& need,
                                bool last_resort) const
      -> std::vector<const UsableBackend*>;
  // Returns the cheapest candidate whose limit allows a request, and charges
  // the request to it.
  [[nodiscard]] auto ChooseFrom(
      Instant now,
      const ServerNeed& need,
      const std::vector<const UsableBackend*>& candidates)
      -> const UsableBackend*;
  [[nodiscard]] auto Load(Instant now, const BackendServerId& id) const
      -> double;
  [[nodiscard]] auto DecisionFor(
      Instant now,
      const ServerNeed& need,
      const std::vector<const UsableBackend*>& candidates) const -> Decision;
  [[nodiscard]] auto Cost(const Decision& decision,
                          const UsableBackend& backend,
                          const ServerNeed& need) const -> double;
  // The same if servers of the service state their pace.
  [[nodiscard]] auto PacedCost(const Decision& decision,
                               const UsableBackend& backend,
                               const ServerNeed& need) const -> double;
  [[nodiscard]] auto DistanceCost(const UsableBackend& backend) const -> double;
  // Charges one request to the server's limit and returns whether the limit
  // allows it. Warm servers are only paced, which `ignore_pacing` disables.
  auto TryReserve(Instant now, const UsableBackend& backend, bool ignore_pacing)
      -> bool;
  [[nodiscard]] auto IsCold(Instant now,
                            const UsableBackend& backend,
                            const ServerState& state) const -> bool;
  [[nodiscard]] auto PreferredServer(
      const std::vector<const UsableBackend*>& from,
      const ServerNeed& need) const -> BackendServerId;

  HostId self_;
  FailureDomainId domain_;
  RegionId region_;
  std::shared_ptr<const TrafficView> view_;
  std::map<BackendServerId, ServerState> server_states_;
  std::map<ServiceId, std::shared_ptr<ServicePerformance>> services_;
  LeavingServers leaving_;
  NoServerReason reason_ = NoServerReason::kNoEligibleServer;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_SERVER_CHOOSER_H_
