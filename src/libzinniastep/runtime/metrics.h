#ifndef LIBZINNIASTEP_RUNTIME_METRICS_H_
#define LIBZINNIASTEP_RUNTIME_METRICS_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

#include "libzinniastep/base/time.h"
#include "libzinniastep/runtime/exposition_text.h"

namespace zinniastep {

// Counters, gauges and latency histograms of one process; any thread may add to
// them.
class Metrics {
 public:
  Metrics() = default;
  Metrics(const Metrics&) = delete;
  auto operator=(const Metrics&) -> Metrics& = delete;

  // Adds to a counter. Names come from a fixed set in the code.
  auto Count(std::string_view name, std::uint64_t amount = 1) -> void;

  // Sets a gauge.
  auto Set(std::string_view name, std::uint64_t value) -> void;

  // Adds one time to a histogram.
  auto Observe(std::string_view name, Duration time) -> void;

  // Returns a copy of all values. Writers wait no longer than the copy takes.
  [[nodiscard]] auto Snapshot() const -> MetricsSnapshot;

 private:
  mutable std::mutex mutex_;
  MetricsSnapshot values_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_METRICS_H_
