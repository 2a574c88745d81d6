// How a server chooser takes note of the view and of what its requests met.

#include <algorithm>
#include <utility>

#include "libzinniastep/base/hash.h"
#include "libzinniastep/gateway/server_chooser.h"

namespace zinniastep {

namespace {

// Weight of the newest send in a server's moving failure rate.
constexpr double kFailureWeight = 0.2;
// A server that could not be reached is avoided for this long, doubled with
// each consecutive failure up to the maximum number of doublings.
constexpr Duration kInitialAvoidance = std::chrono::milliseconds(300);
constexpr std::uint32_t kMaxAvoidanceDoublings = 3;
// A server that could not be reached may return cold; the list shows it within
// two heartbeats.
constexpr Duration kAssumedColdDuration = std::chrono::milliseconds(3500);

// Returns a number in [0, 1).
auto HashToUnit(std::uint64_t hash) -> double {
  return static_cast<double>(hash >> 11U) * 0x1.0p-53;
}

}  // namespace

auto ServerChooser::SetView(Instant now,
                            std::shared_ptr<const TrafficView> view)
    -> std::vector<LeavingServers::Ended> {
  view_ = std::move(view);
  std::map<BackendServerId, ServerState> kept;
  std::map<ServiceId, std::shared_ptr<ServicePerformance>> services;
  const std::uint64_t host_hash = StableHash(self_.text());
  for (const UsableBackend& backend : view_->backends) {
    std::shared_ptr<ServicePerformance>& service =
        services[backend.entry.service];
    if (service == nullptr) {
      const auto known = services_.find(backend.entry.service);
      service = known != services_.end()
                    ? known->second
                    : std::make_shared<ServicePerformance>();
    }
    const auto found = server_states_.find(backend.entry.id);
    if (found != server_states_.end() &&
        found->second.started == backend.entry.started) {
      kept.insert(*found);
      continue;
    }
    ServerState state;
    state.started = backend.entry.started;
    state.last_progress = now;
    state.cold_refilled_at = now;
    state.warm_refilled_at = now;
    state.performance = ServerPerformance(service);
    state.host_order =
        HashToUnit(StableHash(backend.entry.id.text(), host_hash));
    if (found != server_states_.end()) {
      // Requests to the previous incarnation still end one by one.
      state.open = found->second.open;
      state.performance.KeepTokens(found->second.performance);
    }
    kept[backend.entry.id] = state;
  }
  for (const auto& [id, state] : server_states_) {
    if (state.open > 0) {
      kept.try_emplace(id, state);
    }
  }
  server_states_ = std::move(kept);
  services_ = std::move(services);
  return leaving_.Update(now, view_->backends);
}

auto ServerChooser::OnBegin(const BackendServerId& server, double tokens)
    -> void {
  const auto found = server_states_.find(server);
  if (found != server_states_.end()) {
    ++found->second.open;
    found->second.performance.OnBegin(tokens);
  }
}

auto ServerChooser::OnEnd(Instant now,
                          const BackendServerId& server,
                          double tokens) -> void {
  const auto found = server_states_.find(server);
  if (found != server_states_.end() && found->second.open > 0) {
    --found->second.open;
    found->second.performance.OnEnd(tokens);
    found->second.last_progress = std::max(found->second.last_progress, now);
  }
}

auto ServerChooser::OnOutcome(Instant now,
                              const BackendServerId& server,
                              SendOutcome outcome) -> void {
  const auto found = server_states_.find(server);
  if (found == server_states_.end()) {
    return;
  }
  ServerState& state = found->second;
  const bool has_failed = outcome != SendOutcome::kAnswered;
  if (outcome == SendOutcome::kNotSent) {
    state.unreachable = true;
  } else if (state.unreachable) {
    // The server is reachable again and may be cold for its whole start.
    state.unreachable = false;
    state.assumed_cold_until = now + kAssumedColdDuration;
  }
  if (state.unreachable) {
    state.assumed_cold_until = now + kAssumedColdDuration;
  }
  state.failure_rate +=
      kFailureWeight * ((has_failed ? 1.0 : 0.0) - state.failure_rate);
  if (!has_failed) {
    state.consecutive_failures = 0;
    return;
  }
  if (outcome == SendOutcome::kServerFailure) {
    return;
  }
  const Duration avoidance =
      kInitialAvoidance *
      (1U << std::min(state.consecutive_failures, kMaxAvoidanceDoublings));
  state.consecutive_failures += 1;
  state.avoid_until = now + avoidance;
  state.answer_interrupted = outcome == SendOutcome::kBroken;
}

auto ServerChooser::OnLoad(Instant now,
                           const BackendServerId& server,
                           const ServerLoad& load) -> bool {
  const auto found = server_states_.find(server);
  if (found == server_states_.end()) {
    return true;
  }
  ServerState& state = found->second;
  state.others = std::max(
      0.0, static_cast<double>(load.running) + load.waiting - state.open);
  state.waiting = load.waiting;
  state.load_at = now;
  state.performance.OnLoad(static_cast<double>(load.running) + load.waiting,
                           load.slots);
  return !load.pace_percent.has_value() ||
         state.performance.OnPace(now, *load.pace_percent);
}

auto ServerChooser::OnEventTimes(Instant now,
                                 const BackendServerId& server,
                                 const ResponseTimes& times) -> void {
  const auto found = server_states_.find(server);
  if (found == server_states_.end()) {
    return;
  }
  ResponseTimes judged = times;
  if (found->second.waiting > 0.0) {
    // The first event waited for others, which tells nothing of the speed.
    judged.first_event = Duration(0);
  }
  found->second.performance.OnTimes(now, judged);
}

auto ServerChooser::OnLeaving(Instant now, const BackendEntry& server) -> bool {
  return leaving_.Learn(now, server.id, server.started);
}

auto ServerChooser::OnProgress(Instant now, const BackendServerId& server)
    -> void {
  const auto found = server_states_.find(server);
  if (found != server_states_.end()) {
    found->second.last_progress = now;
  }
}

auto ServerChooser::IsSilent(Instant now,
                             const BackendServerId& server,
                             Duration time) const -> bool {
  const auto found = server_states_.find(server);
  return found == server_states_.end() ||
         (found->second.open > 0 && now - found->second.last_progress >= time);
}

}  // namespace zinniastep
