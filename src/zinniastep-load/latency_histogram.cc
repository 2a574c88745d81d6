#include "zinniastep-load/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace zinniastep::load {
namespace {

constexpr unsigned kBins = 700;
constexpr double kShortestMilliseconds = 0.01;
constexpr double kLongestMilliseconds = 100'000.0;

}  // namespace

LatencyHistogram::LatencyHistogram()
    : histogram_(boost::histogram::make_histogram(
          Axis(kBins, kShortestMilliseconds, kLongestMilliseconds))) {}

auto LatencyHistogram::Add(double milliseconds) -> void {
  histogram_(std::clamp(milliseconds, kShortestMilliseconds,
                        kLongestMilliseconds * (1.0 - 1e-9)));
  ++count_;
}

auto LatencyHistogram::Quantile(double share) const -> double {
  const auto rank = static_cast<std::uint64_t>(
      std::ceil(share * static_cast<double>(count_)));
  std::uint64_t below = 0;
  for (const HistogramBin& bin : Bins()) {
    below += bin.count;
    if (below >= rank) {
      return bin.upper;
    }
  }
  return 0;
}

auto LatencyHistogram::Bins() const -> std::vector<HistogramBin> {
  std::vector<HistogramBin> bins;
  for (const auto& cell : boost::histogram::indexed(histogram_)) {
    const auto count = static_cast<std::uint64_t>(double(*cell));
    if (count > 0) {
      bins.push_back({cell.bin().lower(), cell.bin().upper(), count});
    }
  }
  return bins;
}

}  // namespace zinniastep::load
