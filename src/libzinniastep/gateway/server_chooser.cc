#include "libzinniastep/gateway/server_chooser.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "libzinniastep/base/hash.h"

namespace zinniastep {

namespace {

// Work that each request at an engine adds to the next one, in milliseconds:
// a tenth of a millisecond a token over some 300 tokens.
constexpr double kRunningCostMs = 30.0;
// Work that a waiting request adds: reading its prompt first.
constexpr double kWaitingCostMs = 150.0;
// Distance in milliseconds, with what the bytes between domains cost.
constexpr double kOtherDomainCostMs = 10.0;
constexpr double kOtherRegionCostMs = 200.0;
// A server that fails all of its sends counts as this much farther away.
constexpr double kFailureCostMs = 2000.0;
// Weight of the newest send in a server's share of failures.
constexpr double kFailureWeight = 0.2;
// What others run at a server is believed for about this long.
constexpr double kLoadFadeSeconds = 3.0;
// A server that could not be reached is left alone for this long, doubled with
// each failure in a row up to the most.
constexpr Duration kFirstAvoidance = std::chrono::milliseconds(300);
constexpr std::uint32_t kMostAvoidanceDoublings = 3;
// Requests that may be saved up under a server's limit.
constexpr double kSavedRequests = 1.0;
// A warm server may turn cold before the list says so. While others have room
// it therefore gets no more than this many times its cold limit: with what
// hosts save up, that is just what it would bear.
constexpr double kWarmPace = 1.5;
// A server that could not be reached may return cold; the list tells of it
// within two heartbeats.
constexpr Duration kMaybeCold = std::chrono::milliseconds(3500);

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

ServerChooser::ServerChooser(HostId self,
                             FailureDomainId domain,
                             RegionId region)
    : self_(std::move(self)),
      domain_(std::move(domain)),
      region_(std::move(region)) {}

auto ServerChooser::SetView(Instant now,
                            std::shared_ptr<const TrafficView> view) -> void {
  view_ = std::move(view);
  std::map<BackendServerId, Knowledge> kept;
  for (const UsableBackend& backend : view_->backends) {
    const auto found = knowledge_.find(backend.entry.id);
    if (found != knowledge_.end() &&
        found->second.started == backend.entry.started) {
      kept.insert(*found);
      continue;
    }
    Knowledge knowledge;
    knowledge.started = backend.entry.started;
    knowledge.last_progress = now;
    knowledge.cold_at = now;
    knowledge.pace_at = now;
    kept[backend.entry.id] = knowledge;
  }
  knowledge_ = std::move(kept);
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
                                   bool target_is_out) const -> bool {
  for (const RolloutSplit& split : view_->splits) {
    if (split.service != need.service) {
      continue;
    }
    const std::uint64_t draw =
        StableHash(split.target_version, need.session ^ split.order);
    const double place = static_cast<double>(draw >> 11U) * 0x1.0p-53;
    const double share = now >= split.next_from
                             ? std::max(split.target_share, split.next_share)
                             : split.target_share;
    const bool to_target =
        !target_is_out && !need.avoid_target && place < share;
    return (backend.entry.version == split.target_version) == to_target;
  }
  return true;
}

auto ServerChooser::MayServe(Instant now,
                             const UsableBackend& backend,
                             const ServerNeed& need,
                             bool target_is_out) const -> bool {
  if (backend.entry.service != need.service ||
      view_->evacuated.contains(backend.entry.domain) ||
      !InRegions(backend, need.regions) ||
      !InRegions(backend, need.account_regions) ||
      std::ranges::find(need.tried, backend.entry.id) != need.tried.end()) {
    return false;
  }
  return AllowedBySplit(backend, need, now, target_is_out);
}

auto ServerChooser::IsAvoided(Instant now,
                              const BackendServerId& server,
                              bool last_resort) const -> bool {
  const auto knowledge = knowledge_.find(server);
  return knowledge != knowledge_.end() && knowledge->second.avoid_until > now &&
         !(last_resort && knowledge->second.broke_answer);
}

auto ServerChooser::Load(Instant now, const BackendServerId& id) const
    -> double {
  const auto found = knowledge_.find(id);
  if (found == knowledge_.end()) {
    return 0.0;
  }
  const Knowledge& knowledge = found->second;
  const double fade =
      std::exp(-Seconds(now - knowledge.load_at) / kLoadFadeSeconds);
  return knowledge.open + knowledge.others * fade;
}

auto ServerChooser::Preferred(const std::vector<const UsableBackend*>& from,
                              const ServerNeed& need) const -> BackendServerId {
  if (need.affinity == 0) {
    return {};
  }
  // Servers of the home region first: the shared parts are then read once a
  // region and need not cross the link between regions.
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
  const auto found = knowledge_.find(backend.entry.id);
  if (found != knowledge_.end()) {
    const double fade =
        std::exp(-Seconds(now - found->second.load_at) / kLoadFadeSeconds);
    cost += found->second.waiting * fade * kWaitingCostMs;
    cost += found->second.failures * kFailureCostMs;
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
                           const Knowledge& knowledge) const -> bool {
  return backend.cold_until > now || knowledge.maybe_cold_until > now;
}

auto ServerChooser::TakePlace(Instant now,
                              const UsableBackend& backend,
                              bool any_pace) -> bool {
  Knowledge& knowledge = knowledge_[backend.entry.id];
  const bool is_cold = IsCold(now, backend, knowledge);
  if (!is_cold && any_pace) {
    return true;
  }
  const auto limit = view_->cold_rates.find(backend.entry.id);
  if (limit == view_->cold_rates.end()) {
    return !is_cold;
  }
  double& tokens = is_cold ? knowledge.cold_tokens : knowledge.pace_tokens;
  Instant& counted_at = is_cold ? knowledge.cold_at : knowledge.pace_at;
  const double rate = limit->second * (is_cold ? 1.0 : kWarmPace);
  tokens = std::min(kSavedRequests, tokens + Seconds(now - counted_at) * rate);
  counted_at = now;
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
  for (const bool target_is_out : {false, true}) {
    for (const UsableBackend& backend : view_->backends) {
      if (MayServe(now, backend, need, target_is_out) &&
          !IsAvoided(now, backend.entry.id, last_resort)) {
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
  reason_ = NoServerReason::kNone;
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
  return nullptr;
}

auto ServerChooser::ChooseFrom(
    Instant now,
    const ServerNeed& need,
    const std::vector<const UsableBackend*>& candidates)
    -> const UsableBackend* {
  const BackendServerId preferred = Preferred(candidates, need);
  std::vector<std::pair<double, const UsableBackend*>> ranked;
  ranked.reserve(candidates.size());
  for (const UsableBackend* backend : candidates) {
    ranked.emplace_back(Cost(now, *backend, need, preferred), backend);
  }
  std::ranges::sort(ranked);
  for (const bool any_pace : {false, true}) {
    for (const auto& [cost, backend] : ranked) {
      if (TakePlace(now, *backend, any_pace)) {
        return backend;
      }
      reason_ = NoServerReason::kColdLimit;
    }
  }
  return nullptr;
}

auto ServerChooser::OnBegin(const BackendServerId& server) -> void {
  const auto found = knowledge_.find(server);
  if (found != knowledge_.end()) {
    ++found->second.open;
  }
}

auto ServerChooser::OnEnd(Instant now, const BackendServerId& server) -> void {
  const auto found = knowledge_.find(server);
  if (found != knowledge_.end() && found->second.open > 0) {
    --found->second.open;
    found->second.last_progress = std::max(found->second.last_progress, now);
  }
}

auto ServerChooser::OnOutcome(Instant now,
                              const BackendServerId& server,
                              SendOutcome outcome) -> void {
  const auto found = knowledge_.find(server);
  if (found == knowledge_.end()) {
    return;
  }
  Knowledge& knowledge = found->second;
  const bool failed = outcome != SendOutcome::kAnswered;
  if (outcome == SendOutcome::kNotSent) {
    knowledge.unreachable = true;
  } else if (knowledge.unreachable) {
    // Reached again: from here on it may be cold for its whole start.
    knowledge.unreachable = false;
    knowledge.maybe_cold_until = now + kMaybeCold;
  }
  if (knowledge.unreachable) {
    knowledge.maybe_cold_until = now + kMaybeCold;
  }
  knowledge.failures +=
      kFailureWeight * ((failed ? 1.0 : 0.0) - knowledge.failures);
  if (!failed) {
    knowledge.failures_in_row = 0;
    return;
  }
  if (outcome == SendOutcome::kServerFailure) {
    return;
  }
  const Duration avoidance =
      kFirstAvoidance *
      (1U << std::min(knowledge.failures_in_row, kMostAvoidanceDoublings));
  knowledge.failures_in_row += 1;
  knowledge.avoid_until = now + avoidance;
  knowledge.broke_answer = outcome == SendOutcome::kBroken;
}

auto ServerChooser::OnLoad(Instant now,
                           const BackendServerId& server,
                           const ServerLoad& load) -> void {
  const auto found = knowledge_.find(server);
  if (found == knowledge_.end()) {
    return;
  }
  Knowledge& knowledge = found->second;
  knowledge.others = std::max(
      0.0, static_cast<double>(load.running) + load.waiting - knowledge.open);
  knowledge.waiting = load.waiting;
  knowledge.load_at = now;
}

auto ServerChooser::OnProgress(Instant now, const BackendServerId& server)
    -> void {
  const auto found = knowledge_.find(server);
  if (found != knowledge_.end()) {
    found->second.last_progress = now;
  }
}

auto ServerChooser::IsSilent(Instant now,
                             const BackendServerId& server,
                             Duration time) const -> bool {
  const auto found = knowledge_.find(server);
  return found == knowledge_.end() ||
         (found->second.open > 0 && now - found->second.last_progress >= time);
}

auto ServerChooser::Utilization(Instant now, const ServiceId& service) const
    -> double {
  if (view_ == nullptr) {
    return 0.0;
  }
  double load = 0.0;
  double places = 0.0;
  for (const UsableBackend& backend : view_->backends) {
    if (backend.entry.service == service &&
        !view_->evacuated.contains(backend.entry.domain)) {
      load += Load(now, backend.entry.id);
      places += backend.entry.slots;
    }
  }
  return places > 0.0 ? load / places : 1.0;
}

auto ServerChooser::IsUsable(const BackendServerId& server) const -> bool {
  return view_ != nullptr &&
         std::ranges::any_of(view_->backends, [&](const UsableBackend& known) {
           return known.entry.id == server;
         });
}

}  // namespace zinniastep
