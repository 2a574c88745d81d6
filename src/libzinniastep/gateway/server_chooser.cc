#include "libzinniastep/gateway/server_chooser.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "libzinniastep/base/hash.h"
#include "libzinniastep/gateway/traffic_policy.h"

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
// Servers whose costs differ by less than this are near-equal, and each host
// has an order of its own among them. It is below the cost of any distance.
constexpr double kNearEqualMs = 8.0;
// Additional cost of a server whose memory the request would exceed. All other
// costs together are kept below it, whatever load a server states.
constexpr double kOverMemoryCostMs = 1e12;
// Additional cost of a server that fails all of its sends.
constexpr double kFailureCostMs = 2000.0;
// Time constant with which the weight of a load report decays.
constexpr double kLoadFadeSeconds = 3.0;
// Capacity of the token buckets, in requests.
constexpr double kMaxSavedRequests = 1.0;
// A warm server may restart cold before the list shows it. While other servers
// have room, it therefore receives at most this multiple of its cold limit.
// Together with the tokens that hosts have saved, that is just the load that a
// cold server can take.
constexpr double kWarmRateFactor = 1.5;

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

auto ServerChooser::DecisionFor(
    Instant now,
    const ServerNeed& need,
    const std::vector<const UsableBackend*>& candidates) const -> Decision {
  Decision decision{now, PreferredServer(candidates, need)};
  decision.is_paced = IsPaced(now, need.service);
  if (decision.is_paced && view_->policy != nullptr) {
    const ForwardingService* rule = view_->policy->FindService(need.service);
    decision.memory_tokens = rule == nullptr ? 0.0 : rule->memory_tokens;
  }
  return decision;
}

auto ServerChooser::DistanceCost(const UsableBackend& backend) const -> double {
  if (backend.entry.domain == domain_) {
    return 0.0;
  }
  return RegionOf(backend.entry.domain) == region_ ? kOtherDomainCostMs
                                                   : kOtherRegionCostMs;
}

auto ServerChooser::Cost(const Decision& decision,
                         const UsableBackend& backend,
                         const ServerNeed& need) const -> double {
  if (decision.is_paced) {
    return PacedCost(decision, backend, need);
  }
  double cost = Load(decision.now, backend.entry.id) * kRunningCostMs;
  const auto found = server_states_.find(backend.entry.id);
  if (found != server_states_.end()) {
    const double fade = std::exp(
        -Seconds(decision.now - found->second.load_at) / kLoadFadeSeconds);
    cost += found->second.waiting * fade * kWaitingCostMs;
    cost += found->second.failure_rate * kFailureCostMs;
  }
  cost += DistanceCost(backend);
  if (need.affinity != 0 && backend.entry.id != decision.preferred) {
    cost += need.affinity_gain_ms;
  }
  return cost;
}

auto ServerChooser::PacedCost(const Decision& decision,
                              const UsableBackend& backend,
                              const ServerNeed& need) const -> double {
  static const ServerState unknown;
  const auto found = server_states_.find(backend.entry.id);
  const ServerState& state =
      found == server_states_.end() ? unknown : found->second;
  const double fade =
      std::exp(-Seconds(decision.now - state.load_at) / kLoadFadeSeconds);
  const ServerQueue queue{static_cast<double>(state.open), state.others,
                          state.waiting, backend.entry.slots, fade};
  double work_ms = need.work_ms;
  if (need.affinity != 0 && backend.entry.id == decision.preferred) {
    work_ms = std::max(0.0, work_ms - need.affinity_gain_ms);
  }
  double cost = state.performance.FirstEventMs(decision.now, queue, work_ms);
  cost += DistanceCost(backend) + state.failure_rate * kFailureCostMs +
          state.host_order * kNearEqualMs;
  cost = std::min(cost, kOverMemoryCostMs / 2.0);
  if (decision.memory_tokens > 0.0 &&
      state.performance.HeldTokens(state.others * fade) + need.tokens >
          decision.memory_tokens) {
    cost += kOverMemoryCostMs;
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
  const Decision decision = DecisionFor(now, need, candidates);
  using Ranked = std::pair<double, const UsableBackend*>;
  std::vector<Ranked> ranked;
  ranked.reserve(candidates.size());
  for (const UsableBackend* backend : candidates) {
    ranked.emplace_back(Cost(decision, *backend, need), backend);
  }
  std::ranges::sort(ranked);
  const auto over_memory =
      std::ranges::lower_bound(ranked, kOverMemoryCostMs, {}, &Ranked::first);
  for (const std::span<const Ranked> part :
       {std::span<const Ranked>(ranked.begin(), over_memory),
        std::span<const Ranked>(over_memory, ranked.end())}) {
    for (const bool ignore_pacing : {false, true}) {
      for (const auto& [cost, backend] : part) {
        if (TryReserve(now, *backend, ignore_pacing)) {
          return backend;
        }
        reason_ = NoServerReason::kColdLimit;
      }
    }
  }
  return nullptr;
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
  const double known = slots > 0.0 ? load / slots : 1.0;
  // A host of a large fleet has no recent report of most servers, which then
  // look empty; the mean of the reports that it had does not.
  return IsPaced(now, service)
             ? std::max(known, services_.find(service)->second->mean_use())
             : known;
}

auto ServerChooser::IsPaced(Instant now, const ServiceId& service) const
    -> bool {
  const auto found = services_.find(service);
  return found != services_.end() && found->second->IsPaced(now);
}

auto ServerChooser::IsUsable(const BackendServerId& server) const -> bool {
  return view_ != nullptr &&
         std::ranges::any_of(view_->backends, [&](const UsableBackend& known) {
           return known.entry.id == server &&
                  !leaving_.Contains(server, known.entry.started);
         });
}

}  // namespace zinniastep
