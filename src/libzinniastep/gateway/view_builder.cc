#include "libzinniastep/gateway/view_builder.h"

#include <algorithm>
#include <iterator>

namespace zinniastep {

namespace {

// A new version's servers may be listed before their roll-out order.
constexpr Duration kNewVersionDelay = std::chrono::seconds(3);
// Interval of rebuilding the view while servers of a new version wait.
constexpr Duration kRebuildInterval = std::chrono::milliseconds(500);
// Requests per second where a service sets no limit for servers in cold start.
constexpr double kUnlimitedRate = 1e6;

}  // namespace

auto ViewBuilder::AcceptedBackends(Instant now,
                                   std::vector<UsableBackend> usable,
                                   const std::vector<RolloutSplit>& splits,
                                   bool is_first,
                                   std::optional<Instant>& again_at)
    -> std::vector<UsableBackend> {
  std::vector<UsableBackend> accepted;
  for (UsableBackend& backend : usable) {
    const auto key = std::pair(backend.entry.service, backend.entry.version);
    const auto first_seen =
        version_seen_.try_emplace(key, is_first ? now - kNewVersionDelay : now)
            .first->second;
    const bool has_order =
        std::ranges::any_of(splits, [&](const RolloutSplit& split) {
          return split.service == key.first &&
                 split.target_version == key.second;
        });
    if (has_order || now - first_seen >= kNewVersionDelay) {
      accepted.push_back(std::move(backend));
    } else {
      again_at = now + kRebuildInterval;
    }
  }
  return accepted;
}

auto ColdRates(const std::vector<UsableBackend>& backends,
               const TrafficPolicy& policy,
               const ColdShares& shares) -> std::map<BackendServerId, double> {
  std::map<BackendServerId, double> rates;
  for (const UsableBackend& backend : backends) {
    const ForwardingService* service =
        policy.FindService(backend.entry.service);
    const double limit =
        service == nullptr ? 0.0 : service->cold_requests_per_second;
    const double rate =
        limit > 0.0 ? shares.RateFor(backend.entry.id, limit) : kUnlimitedRate;
    if (rate > 0.0) {
      rates.emplace_hint(rates.end(), backend.entry.id, rate);
    }
  }
  return rates;
}

auto StayingHosts(const Membership& membership) -> std::vector<HostIdentity> {
  std::vector<HostIdentity> staying;
  std::ranges::copy_if(membership.live_hosts(), std::back_inserter(staying),
                       [&membership](const HostIdentity& host) {
                         return !membership.IsLeaving(host.host);
                       });
  return staying;
}

auto FrontsOf(const std::vector<HostIdentity>& hosts,
              const std::vector<HostIdentity>& preferred)
    -> std::vector<FrontAddress> {
  std::set<HostId> chosen;
  for (const HostIdentity& host : preferred) {
    chosen.insert(host.host);
  }
  std::vector<FrontAddress> fronts;
  fronts.reserve(hosts.size());
  for (const HostIdentity& host : hosts) {
    fronts.push_back({host.caller_address, host.domain, host.region,
                      chosen.contains(host.host)});
  }
  return fronts;
}

}  // namespace zinniastep
