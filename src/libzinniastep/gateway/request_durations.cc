#include "libzinniastep/gateway/request_durations.h"

#include <algorithm>

namespace zinniastep {

namespace {

// Weight of one request in the moving average, as a divisor.
constexpr int kMeanDivisor = 8;
constexpr int kDecayDivisor = 32;

}  // namespace

auto RequestDurations::Record(std::string_view route, Duration duration)
    -> void {
  const auto found = by_route_.find(route);
  if (found == by_route_.end()) {
    by_route_.emplace(route, RequestDuration{duration, duration});
    return;
  }
  RequestDuration& usual = found->second;
  usual.mean += (duration - usual.mean) / kMeanDivisor;
  usual.longest =
      std::max(duration, usual.longest - usual.longest / kDecayDivisor);
}

auto RequestDurations::Find(std::string_view route) const
    -> std::optional<RequestDuration> {
  const auto found = by_route_.find(route);
  return found == by_route_.end() ? std::nullopt : std::optional(found->second);
}

auto RequestDurations::KeepIf(
    const std::function<bool(const std::string&)>& keep) -> void {
  std::erase_if(by_route_,
                [&keep](const auto& item) { return !keep(item.first); });
}

}  // namespace zinniastep
