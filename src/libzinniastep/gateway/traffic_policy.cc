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
    by_host_[routes_[index].host].push_back(index);
  }
  for (auto& [host, indices] : by_host_) {
    std::ranges::stable_sort(indices, [this](std::size_t a, std::size_t b) {
      return routes_[a].path_prefix.size() > routes_[b].path_prefix.size();
    });
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
  for (const std::size_t index : found->second) {
    if (path.starts_with(routes_[index].path_prefix)) {
      return &routes_[index];
    }
  }
  return nullptr;
}

auto TrafficPolicy::FindService(const ServiceId& id) const
    -> const ForwardingService* {
  const auto found = std::ranges::find(services_, id, &ForwardingService::id);
  return found == services_.end() ? nullptr : &*found;
}

}  // namespace zinniastep
