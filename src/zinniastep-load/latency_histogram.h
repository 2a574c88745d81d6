#ifndef ZINNIASTEP_LOAD_LATENCY_HISTOGRAM_H_
#define ZINNIASTEP_LOAD_LATENCY_HISTOGRAM_H_

#include <boost/histogram.hpp>
#include <cstdint>
#include <vector>

namespace zinniastep::load {

// One bin of a histogram, in milliseconds.
struct HistogramBin {
  double lower = 0;
  double upper = 0;
  std::uint64_t count = 0;
};

// Latencies in bins of equal ratio from 0.01 ms to 100 s.
class LatencyHistogram {
 public:
  LatencyHistogram();

  auto Add(double milliseconds) -> void;

  auto count() const -> std::uint64_t { return count_; }

  // Upper edge of the bin that holds the quantile; zero without values.
  auto Quantile(double share) const -> double;

  // Bins that hold values.
  auto Bins() const -> std::vector<HistogramBin>;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram =
      decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  Histogram histogram_;
  std::uint64_t count_ = 0;
};

}  // namespace zinniastep::load

#endif  // ZINNIASTEP_LOAD_LATENCY_HISTOGRAM_H_
