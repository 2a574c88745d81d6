#include "libzinniastep/routing/hedge_timer.h"

#include <algorithm>
#include <cstddef>

namespace zinniastep {

namespace {

constexpr double kQuantile = 0.95;
// Step size of the estimate, relative to its value.
constexpr double kRelativeStep = 0.05;
constexpr double kMinAnswers = 50.0;
constexpr std::size_t kMaxWorkloads = 1024;

}  // namespace

auto HedgeTimer::OnFirstToken(const Workload& workload, Duration first_token)
    -> void {
  if (quantiles_.size() >= kMaxWorkloads && !quantiles_.contains(workload)) {
    return;
  }
  Quantile& quantile = quantiles_[workload];
  const auto observed = static_cast<double>(first_token.count());
  quantile.count += 1.0;
  if (quantile.count <= 1.0) {
    quantile.microseconds = observed;
    return;
  }
  const double step = kRelativeStep * std::max(1.0, quantile.microseconds);
  quantile.microseconds += observed > quantile.microseconds
                               ? step * kQuantile
                               : -step * (1.0 - kQuantile);
}

auto HedgeTimer::Delay(const Workload& workload) const
    -> std::optional<Duration> {
  const auto found = quantiles_.find(workload);
  if (found == quantiles_.end() || found->second.count < kMinAnswers) {
    return std::nullopt;
  }
  return Duration(static_cast<Duration::rep>(found->second.microseconds));
}

}  // namespace zinniastep
