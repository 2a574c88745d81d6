#include "libzinniastep/runtime/metrics.h"

namespace zinniastep {

auto Metrics::Count(std::string_view name, std::uint64_t amount) -> void {
  const std::lock_guard lock(mutex_);
  auto found = values_.counters.find(name);
  if (found == values_.counters.end()) {
    found = values_.counters.try_emplace(ExpositionName(name)).first;
  }
  found->second += amount;
}

auto Metrics::Set(std::string_view name, std::uint64_t value) -> void {
  const std::lock_guard lock(mutex_);
  values_.gauges[ExpositionName(name)] = value;
}

auto Metrics::Observe(std::string_view name, Duration time) -> void {
  const std::lock_guard lock(mutex_);
  auto found = values_.histograms.find(name);
  if (found == values_.histograms.end()) {
    found = values_.histograms.try_emplace(ExpositionName(name)).first;
  }
  found->second.Add(time);
}

auto Metrics::Snapshot() const -> MetricsSnapshot {
  const std::lock_guard lock(mutex_);
  return values_;
}

}  // namespace zinniastep
