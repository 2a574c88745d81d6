#include "libzinniastep/gateway/traffic_policy.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace zinniastep {

TrafficPolicy::TrafficPolicy(std::uint64_t version,
                             std::vector<ForwardingRoute> routes,
                             std::vector<ForwardingService> services,
                             CallerAccess access,
                             CallerLimits limits,
                             std::vector<UnreadableRule> unreadable)
    : version_(version),
      routes_(std::move(routes)),
      services_(std::move(services)),
      access_(std::move(access)),
      limits_(limits),
      unreadable_(std::move(unreadable)) {
  for (std::size_t index = 0; index < routes_.size(); ++index) {
    by_host_[routes_[index].host].push_back({.route = index, .wider = {}});
  }
  for (auto& [host, prefixes] : by_host_) {
    IndexPrefixes(prefixes);
  }
}

auto TrafficPolicy::IndexPrefixes(std::vector<IndexedPrefix>& prefixes) const
    -> void {
  const auto prefix = [this](const IndexedPrefix& entry) {
    return PrefixOf(entry);
  };
  std::ranges::stable_sort(prefixes, {}, prefix);
  prefixes.erase(
      std::unique(prefixes.begin(), prefixes.end(),
                  [&prefix](const IndexedPrefix& a, const IndexedPrefix& b) {
                    return prefix(a) == prefix(b);
                  }),
      prefixes.end());
  prefixes.shrink_to_fit();
  for (std::uint32_t index = 1; index < prefixes.size(); ++index) {
    std::optional<std::uint32_t> wider = index - 1;
    while (wider.has_value() &&
           !PrefixOf(prefixes[index]).starts_with(PrefixOf(prefixes[*wider]))) {
      wider = prefixes[*wider].wider;
    }
    prefixes[index].wider = wider;
  }
}

auto TrafficPolicy::WithLastSound(const TrafficPolicy* before) const
    -> std::shared_ptr<const TrafficPolicy> {
  auto routes = routes_;
  auto services = services_;
  auto limits = limits_;
  for (const UnreadableRule& rule : unreadable_) {
    if (before == nullptr) {
      break;
    }
    if (rule.kind == RuleKind::kRoute) {
      std::ranges::copy_if(
          before->routes_, std::back_inserter(routes),
          [&rule](const auto& route) { return route.name == rule.name; });
    } else if (rule.kind == RuleKind::kService) {
      std::ranges::copy_if(before->services_, std::back_inserter(services),
                           [&rule](const auto& service) {
                             return service.id.text() == rule.name;
                           });
    } else if (rule.kind == RuleKind::kLimits) {
      limits = before->limits_;
    }
  }
  return std::make_shared<const TrafficPolicy>(version_, std::move(routes),
                                               std::move(services), access_,
                                               limits, unreadable_);
}

auto ToString(RuleKind kind) -> std::string_view {
  switch (kind) {
    case RuleKind::kRoute:
      return "route";
    case RuleKind::kService:
      return "service";
    case RuleKind::kAccount:
      return "account";
    case RuleKind::kLimits:
      return "limits";
  }
  return "unknown";
}

auto TrafficPolicy::FindRoute(std::string_view host,
                              std::string_view path) const
    -> const ForwardingRoute* {
  const auto found = by_host_.find(host);
  if (found == by_host_.end()) {
    return nullptr;
  }
  // A prefix of the path sorts before the path, and whatever sorts between the
  // two begins with it: all prefixes of the path are linked from the last entry
  // that does not sort after the path.
  const std::vector<IndexedPrefix>& prefixes = found->second;
  const auto after = std::ranges::upper_bound(
      prefixes, path, {},
      [this](const IndexedPrefix& entry) { return PrefixOf(entry); });
  if (after == prefixes.begin()) {
    return nullptr;
  }
  const IndexedPrefix* entry = &*std::prev(after);
  while (!path.starts_with(PrefixOf(*entry))) {
    if (!entry->wider.has_value()) {
      return nullptr;
    }
    entry = &prefixes[*entry->wider];
  }
  return &routes_[entry->route];
}

auto TrafficPolicy::FindService(const ServiceId& id) const
    -> const ForwardingService* {
  const auto found = std::ranges::find(services_, id, &ForwardingService::id);
  return found == services_.end() ? nullptr : &*found;
}

}  // namespace zinniastep
