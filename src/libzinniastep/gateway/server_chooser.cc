#include "libzinniastep/gateway/server_chooser.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "libzinniastep/base/hash.h"

namespace zinniastep {

namespace {

// Delay that each running request at an engine adds to the next one: a tenth of
// a millisecond per token for about 300 tokens.
constexpr double kRunningCostMs = 30.0;
// Delay that a waiting request adds, since the engine first reads its prompt.
constexpr double kWaitingCostMs = 150.0;
// Cost of the distance, including that of the traffic between domains.
constexpr double kOtherDomainCostMs = 10.0;
constexpr double kOtherRegionCostMs = 200.0;
// Additional cost of a server that fails all of its sends.
constexpr double kFailureCostMs = 2000.0;
// Weight of the newest send in a server's moving failure rate.
constexpr double kFailureWeight = 0.2;
// Time constant with which the weight of a load report decays.
constexpr double kLoadFadeSeconds = 3.0;
// A server that could not be reached is avoided for this long, doubled with
// each consecutive failure up to the maximum number of doublings.
constexpr Duration kInitialAvoidance = std::chrono::milliseconds(300);
constexpr std::uint32_t kMaxAvoidanceDoublings = 3;
// Capacity of the token buckets, in requests.
constexpr double kMaxSavedRequests = 1.0;
// A warm server may restart cold before the list shows it. While other servers
// have room, it therefore receives at most this multiple of its cold limit.
// Together with the tokens that hosts have saved, that is just the load that a
// cold server can take.
constexpr double kWarmRateFactor = 1.5;
// A server that could not be reached may return cold; the list shows it within
// two heartbeats.
constexpr Duration kAssumedColdDuration = std::chrono::milliseconds(3500);

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

auto ToString(NoServerReason reason) -> std::string_view {
  switch (reason) {
    case NoServerReason::kNoEligibleServer:
      return "no_eligible_server";
    case NoServerReason::kLeaving:
      return "leaving";
    case NoServerReason::kAvoided:
      return "avoided";
    case NoServerReason::kColdLimit:
      return "cold_limit";
    case NoServerReason::kFull:
      return "full";
  }
  return "unknown";
}

ServerChooser::ServerChooser(HostId self,
                             FailureDomainId domain,
                             RegionId region)
    : self_(std::move(self)),
      domain_(std::move(domain)),
      region_(std::move(region)) {}

auto ServerChooser::SetView(Instant now,
                            std::shared_ptr<const TrafficView> view)
    -> std::vector<LeavingServers::Ended> {
  view_ = std::move(view);
  std::map<BackendServerId, ServerState> kept;
  for (const UsableBackend& backend : view_->backends) {
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
    if (found != server_states_.end()) {
      // Requests to the previous incarnation still end one by one.
      state.open = found->second.open;
    }
    kept[backend.entry.id] = state;
  }
  for (const auto& [id, state] : server_states_) {
    if (state.open > 0) {
      kept.try_emplace(id, state);
    }
  }
  server_states_ = std::move(kept);
  return leaving_.Update(now, view_->backends);
}

auto ServerChooser::RegionOf(const FailureDomainId& domain) const -> RegionId {
  for (const auto& [candidate, region] : view_->regions) {
    if (candidate == domain) {
      return region;
    }
  }
  return {};
}

auto ServerChooser::InRegions(const UsableBackend& backend,
                              std::span<const RegionId> regions) const -> bool {
  return regions.empty() ||
         std::ranges::find(regions, RegionOf(backend.entry.domain)) !=
             regions.end();
}

auto ServerChooser::AllowedBySplit(const UsableBackend& backend,
                                   const ServerNeed& need,
                                   Instant now,
                                   bool target_unavailable) const -> bool {
  for (const RolloutSplit& split : view_->splits) {
    if (split.service != need.service) {
      continue;
    }
    const std::uint64_t session_hash =
        StableHash(split.target_version, need.session ^ split.order);
    const double position =
        static_cast<double>(session_hash >> 11U) * 0x1.0p-53;
    const double share = now >= split.next_from
                             ? std::max(split.target_share, split.next_share)
                             : split.target_share;
    const bool to_target =
        !target_unavailable && !need.avoid_target && position < share;
    return (backend.entry.version == split.target_version) == to_target;
  }
  return true;
}

auto ServerChooser::MayServe(Instant now,
                             const UsableBackend& backend,
                             const ServerNeed& need,
                             bool target_unavailable) const -> bool {
  if (backend.entry.service != need.service ||
      view_->evacuated.contains(backend.entry.domain) ||
      !InRegions(backend, need.regions) ||
      !InRegions(backend, need.account_regions) ||
      std::ranges::find(need.tried, backend.entry.id) != need.tried.end() ||
      (!need.among.empty() &&
       std::ranges::find(need.among, backend.entry.id) == need.among.end())) {
    return false;
  }
  return AllowedBySplit(backend, need, now, target_unavailable);
}

auto ServerChooser::MayServeNew(Instant now,
                                const UsableBackend& backend,
                                const ServerNeed& need,
                                bool target_unavailable) const -> bool {
  return !leaving_.Contains(backend.entry.id, backend.entry.started) &&
         MayServe(now, backend, need, target_unavailable);
}

auto ServerChooser::IsAvoided(Instant now,
                              const BackendServerId& server,
                              bool last_resort) const -> bool {
  const auto state = server_states_.find(server);
  return state != server_states_.end() && state->second.avoid_until > now &&
         !(last_resort && state->second.answer_interrupted);
}

auto ServerChooser::Load(Instant now, const BackendServerId& id) const
    -> double {
  const auto found = server_states_.find(id);
  if (found == server_states_.end()) {
    return 0.0;
  }
  const ServerState& state = found->second;
  const double fade =
      std::exp(-Seconds(now - state.load_at) / kLoadFadeSeconds);
  return state.open + state.others * fade;
}

auto ServerChooser::PreferredServer(
    const std::vector<const UsableBackend*>& from,
    const ServerNeed& need) const -> BackendServerId {
  if (need.affinity == 0) {
    return {};
  }
  // Prefer servers of this host's region: the shared parts are then read once
  // per region and need not cross the link between regions.
  const UsableBackend* best = nullptr;
  std::pair<bool, std::uint64_t> best_rank;
  for (const UsableBackend* backend : from) {
    const std::pair<bool, std::uint64_t> rank(
        RegionOf(backend->entry.domain) == region_,
        StableHash(backend->entry.id.text(), need.affinity));
    if (best == nullptr || rank > best_rank) {
      best = backend;
      best_rank = rank;
    }
  }
  return best == nullptr ? BackendServerId() : best->entry.id;
}

auto ServerChooser::Cost(Instant now,
                         const UsableBackend& backend,
                         const ServerNeed& need,
                         const BackendServerId& preferred) const -> double {
  double cost = Load(now, backend.entry.id) * kRunningCostMs;
  const auto found = server_states_.find(backend.entry.id);
  if (found != server_states_.end()) {
    const double fade =
        std::exp(-Seconds(now - found->second.load_at) / kLoadFadeSeconds);
    cost += found->second.waiting * fade * kWaitingCostMs;
    cost += found->second.failure_rate * kFailureCostMs;
  }
  if (backend.entry.domain != domain_) {
    cost += RegionOf(backend.entry.domain) == region_ ? kOtherDomainCostMs
                                                      : kOtherRegionCostMs;
  }
  if (need.affinity != 0 && backend.entry.id != preferred) {
    cost += need.affinity_gain_ms;
  }
  return cost;
}

auto ServerChooser::IsCold(Instant now,
                           const UsableBackend& backend,
                           const ServerState& state) const -> bool {
  return backend.cold_until > now || state.assumed_cold_until > now;
}

auto ServerChooser::TryReserve(Instant now,
                               const UsableBackend& backend,
                               bool ignore_pacing) -> bool {
  ServerState& state = server_states_[backend.entry.id];
  const bool is_cold = IsCold(now, backend, state);
  if (!is_cold && ignore_pacing) {
    return true;
  }
  const auto limit = view_->cold_rates.find(backend.entry.id);
  if (limit == view_->cold_rates.end()) {
    return !is_cold;
  }
  double& tokens = is_cold ? state.cold_tokens : state.warm_tokens;
  Instant& refilled_at =
      is_cold ? state.cold_refilled_at : state.warm_refilled_at;
  const double rate = limit->second * (is_cold ? 1.0 : kWarmRateFactor);
  tokens =
      std::min(kMaxSavedRequests, tokens + Seconds(now - refilled_at) * rate);
  refilled_at = now;
  if (tokens < 1.0) {
    return false;
  }
  tokens -= 1.0;
  return true;
}

auto ServerChooser::Candidates(Instant now,
                               const ServerNeed& need,
                               bool last_resort) const
    -> std::vector<const UsableBackend*> {
  std::vector<const UsableBackend*> candidates;
  for (const bool target_unavailable : {false, true}) {
    for (const UsableBackend& backend : view_->backends) {
      if (MayServeNew(now, backend, need, target_unavailable) &&
          (!need.among.empty() ||
           !IsAvoided(now, backend.entry.id, last_resort))) {
        candidates.push_back(&backend);
      }
    }
    if (!candidates.empty()) {
      break;
    }
  }
  return candidates;
}

auto ServerChooser::Choose(Instant now, const ServerNeed& need)
    -> const UsableBackend* {
  reason_ = NoServerReason::kNoEligibleServer;
  if (view_ == nullptr) {
    return nullptr;
  }
  for (const bool last_resort : {false, true}) {
    const UsableBackend* backend =
        ChooseFrom(now, need, Candidates(now, need, last_resort));
    if (backend != nullptr) {
      return backend;
    }
  }
  if (reason_ == NoServerReason::kNoEligibleServer) {
    reason_ = ReasonWithoutCandidates(now, need);
  }
  return nullptr;
}

auto ServerChooser::ReasonWithoutCandidates(Instant now,
                                            const ServerNeed& need) const
    -> NoServerReason {
  NoServerReason reason = NoServerReason::kNoEligibleServer;
  for (const UsableBackend& backend : view_->backends) {
    for (const bool target_unavailable : {false, true}) {
      if (MayServeNew(now, backend, need, target_unavailable)) {
        return NoServerReason::kAvoided;
      }
      if (MayServe(now, backend, need, target_unavailable)) {
        reason = NoServerReason::kLeaving;
      }
    }
  }
  return reason;
}

auto ServerChooser::ChooseFrom(
    Instant now,
    const ServerNeed& need,
    const std::vector<const UsableBackend*>& candidates)
    -> const UsableBackend* {
  const BackendServerId preferred = PreferredServer(candidates, need);
  std::vector<std::pair<double, const UsableBackend*>> ranked;
  ranked.reserve(candidates.size());
  for (const UsableBackend* backend : candidates) {
    ranked.emplace_back(Cost(now, *backend, need, preferred), backend);
  }
  std::ranges::sort(ranked);
  for (const bool ignore_pacing : {false, true}) {
    for (const auto& [cost, backend] : ranked) {
      if (TryReserve(now, *backend, ignore_pacing)) {
        return backend;
      }
      reason_ = NoServerReason::kColdLimit;
    }
  }
  return nullptr;
}

auto ServerChooser::OnBegin(const BackendServerId& server) -> void {
  const auto found = server_states_.find(server);
  if (found != server_states_.end()) {
    ++found->second.open;
  }
}

auto ServerChooser::OnEnd(Instant now, const BackendServerId& server) -> void {
  const auto found = server_states_.find(server);
  if (found != server_states_.end() && found->second.open > 0) {
    --found->second.open;
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
                           const ServerLoad& load) -> void {
  const auto found = server_states_.find(server);
  if (found == server_states_.end()) {
    return;
  }
  ServerState& state = found->second;
  state.others = std::max(
      0.0, static_cast<double>(load.running) + load.waiting - state.open);
  state.waiting = load.waiting;
  state.load_at = now;
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

auto ServerChooser::Utilization(Instant now, const ServiceId& service) const
    -> double {
  if (view_ == nullptr) {
    return 0.0;
  }
  double load = 0.0;
  double slots = 0.0;
  for (const UsableBackend& backend : view_->backends) {
    if (backend.entry.service == service &&
        !view_->evacuated.contains(backend.entry.domain) &&
        !leaving_.Contains(backend.entry.id, backend.entry.started)) {
      load += Load(now, backend.entry.id);
      slots += backend.entry.slots;
    }
  }
  return slots > 0.0 ? load / slots : 1.0;
}

auto ServerChooser::IsUsable(const BackendServerId& server) const -> bool {
  return view_ != nullptr &&
         std::ranges::any_of(view_->backends, [&](const UsableBackend& known) {
           return known.entry.id == server &&
                  !leaving_.Contains(server, known.entry.started);
         });
}

}  // namespace zinniastep
