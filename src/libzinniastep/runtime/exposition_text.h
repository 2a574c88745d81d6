#ifndef LIBZINNIASTEP_RUNTIME_EXPOSITION_TEXT_H_
#define LIBZINNIASTEP_RUNTIME_EXPOSITION_TEXT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "libzinniastep/runtime/time_histogram.h"

namespace zinniastep {

// The values of a process's metrics at one moment, by name.
struct MetricsSnapshot {
  std::map<std::string, std::uint64_t, std::less<>> counters;
  std::map<std::string, std::uint64_t, std::less<>> gauges;
  std::map<std::string, TimeHistogram, std::less<>> histograms;
};

// The Content-Type of an answer with an exposition text.
inline constexpr char kExpositionContentType[] = "text/plain; version=0.0.4";

// Returns a name in which each character that a metric's name may not have is
// an underscore.
[[nodiscard]] auto ExpositionName(std::string_view name) -> std::string;

// Returns the metrics in the Prometheus text format, version 0.0.4, with
// "zinniastep_" before each name. Histograms are in seconds; their names end in
// "_seconds", and all buckets are given, the empty ones too. The names must be
// results of ExpositionName().
[[nodiscard]] auto ExpositionText(const MetricsSnapshot& metrics)
    -> std::string;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_EXPOSITION_TEXT_H_
