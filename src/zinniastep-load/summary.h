#ifndef ZINNIASTEP_LOAD_SUMMARY_H_
#define ZINNIASTEP_LOAD_SUMMARY_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "zinniastep-load/latency_histogram.h"
#include "zinniastep-load/load_result.h"

namespace zinniastep::load {

// Latencies and outcomes of a set of calls.
struct Summary {
  std::map<std::string, std::uint64_t> outcomes;
  std::uint64_t calls = 0;
  std::uint64_t retries = 0;
  std::uint64_t tokens = 0;
  LatencyHistogram total;
  LatencyHistogram first_token;
  LatencyHistogram token;

  auto Add(const CallRecord& call) -> void;
  auto answered() const -> std::uint64_t;
};

// One measure with its spread over the load's time slices.
struct Measure {
  std::string name;
  double mean = 0;
  double spread = 0;
};

// Sums up all calls, and those of each kind under its name.
auto Summarise(const LoadResult& result) -> std::map<std::string, Summary>;

// Measures of ten equal slices of the load's time: mean and standard deviation.
auto MeasureSlices(const LoadResult& result) -> std::vector<Measure>;

// Returns the summary as JSON, and as a table for people.
auto ToJson(const std::map<std::string, Summary>& summaries) -> nlohmann::json;
auto ToTable(const std::map<std::string, Summary>& summaries) -> std::string;

// Compares two loads: each measure with its spread, and whether the difference
// is larger than both spreads together.
auto Compare(const LoadResult& a, const LoadResult& b) -> nlohmann::json;
auto ComparisonTable(const nlohmann::json& comparison) -> std::string;

}  // namespace zinniastep::load

#endif  // ZINNIASTEP_LOAD_SUMMARY_H_
