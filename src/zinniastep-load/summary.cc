#include "zinniastep-load/summary.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

#include "absl/strings/str_format.h"

namespace zinniastep::load {
namespace {

using nlohmann::json;

constexpr std::size_t kSlices = 10;
constexpr std::string_view kAll = "all";
constexpr double kMedian = 0.5;
constexpr double kHigh = 0.95;
constexpr double kHighest = 0.99;

auto Quantiles(const LatencyHistogram& histogram) -> json {
  return {{"count", histogram.count()},
          {"p50_ms", histogram.Quantile(kMedian)},
          {"p95_ms", histogram.Quantile(kHigh)},
          {"p99_ms", histogram.Quantile(kHighest)}};
}

auto MeanAndSpread(const std::string& name, const std::vector<double>& values)
    -> Measure {
  Measure measure{.name = name};
  if (values.empty()) {
    return measure;
  }
  const auto count = static_cast<double>(values.size());
  for (const double value : values) {
    measure.mean += value / count;
  }
  for (const double value : values) {
    const double off = value - measure.mean;
    measure.spread += off * off / count;
  }
  measure.spread = std::sqrt(measure.spread);
  return measure;
}

}  // namespace

auto Summary::Add(const CallRecord& call) -> void {
  ++calls;
  ++outcomes[call.outcome];
  retries += call.tries.empty() ? 0 : call.tries.size() - 1;
  if (call.outcome != outcome::kAnswered) {
    return;
  }
  total.Add(call.total_ms);
  tokens += call.tokens;
  if (call.tokens > 0) {
    first_token.Add(call.first_token_ms);
  }
  if (call.tokens > 1) {
    token.Add(call.token_ms);
  }
}

auto Summary::answered() const -> std::uint64_t {
  const auto found = outcomes.find(outcome::kAnswered);
  return found == outcomes.end() ? 0 : found->second;
}

auto Summarise(const LoadResult& result) -> std::map<std::string, Summary> {
  std::map<std::string, Summary> summaries;
  for (const CallRecord& call : result.calls) {
    summaries[std::string(kAll)].Add(call);
    summaries[call.kind].Add(call);
  }
  return summaries;
}

auto MeasureSlices(const LoadResult& result) -> std::vector<Measure> {
  std::array<Summary, kSlices> slices;
  const double slice_ms = result.seconds * 1000.0 / kSlices;
  for (const CallRecord& call : result.calls) {
    const auto slice = static_cast<std::size_t>(call.at_ms / slice_ms);
    slices[std::min(slice, kSlices - 1)].Add(call);
  }
  std::map<std::string, std::vector<double>> values;
  for (const Summary& slice : slices) {
    const double seconds = slice_ms / 1000.0;
    values["answered_per_second"].push_back(
        static_cast<double>(slice.answered()) / seconds);
    values["tokens_per_second"].push_back(static_cast<double>(slice.tokens) /
                                          seconds);
    values["total_p50_ms"].push_back(slice.total.Quantile(kMedian));
    values["total_p95_ms"].push_back(slice.total.Quantile(kHigh));
    values["first_token_p50_ms"].push_back(slice.first_token.Quantile(kMedian));
    values["first_token_p95_ms"].push_back(slice.first_token.Quantile(kHigh));
    values["token_p50_ms"].push_back(slice.token.Quantile(kMedian));
    values["token_p95_ms"].push_back(slice.token.Quantile(kHigh));
  }
  std::vector<Measure> measures;
  measures.reserve(values.size());
  for (const auto& [name, of_slices] : values) {
    measures.push_back(MeanAndSpread(name, of_slices));
  }
  return measures;
}

auto ToJson(const std::map<std::string, Summary>& summaries) -> json {
  json all = json::object();
  for (const auto& [name, summary] : summaries) {
    all[name] = {{"calls", summary.calls},
                 {"outcomes", summary.outcomes},
                 {"retries", summary.retries},
                 {"tokens", summary.tokens},
                 {"total", Quantiles(summary.total)},
                 {"first_token", Quantiles(summary.first_token)},
                 {"token", Quantiles(summary.token)}};
  }
  return all;
}

auto ToTable(const std::map<std::string, Summary>& summaries) -> std::string {
  std::string table =
      absl::StrFormat("%-14s %7s %9s %8s %10s %10s %12s %12s %10s\n", "kind",
                      "calls", "answered", "retries", "p50 ms", "p95 ms",
                      "first p50", "first p95", "token p50");
  for (const auto& [name, summary] : summaries) {
    absl::StrAppendFormat(
        &table, "%-14s %7d %9d %8d %10.2f %10.2f %12.2f %12.2f %10.3f\n", name,
        summary.calls, summary.answered(), summary.retries,
        summary.total.Quantile(kMedian), summary.total.Quantile(kHigh),
        summary.first_token.Quantile(kMedian),
        summary.first_token.Quantile(kHigh), summary.token.Quantile(kMedian));
  }
  const auto all = summaries.find(std::string(kAll));
  if (all != summaries.end()) {
    for (const auto& [name, count] : all->second.outcomes) {
      absl::StrAppendFormat(&table, "%s: %d\n", name, count);
    }
  }
  return table;
}

auto Compare(const LoadResult& a, const LoadResult& b) -> json {
  const std::vector<Measure> of_a = MeasureSlices(a);
  const std::vector<Measure> of_b = MeasureSlices(b);
  json comparison = json::array();
  for (std::size_t i = 0; i < of_a.size(); ++i) {
    const double difference = of_b[i].mean - of_a[i].mean;
    comparison.push_back(
        {{"measure", of_a[i].name},
         {"a", of_a[i].mean},
         {"a_spread", of_a[i].spread},
         {"b", of_b[i].mean},
         {"b_spread", of_b[i].spread},
         {"difference", difference},
         {"beyond_spread",
          std::abs(difference) > of_a[i].spread + of_b[i].spread}});
  }
  return comparison;
}

auto ComparisonTable(const json& comparison) -> std::string {
  std::string table =
      absl::StrFormat("%-22s %12s %10s %12s %10s %12s  %s\n", "measure", "a",
                      "spread", "b", "spread", "difference", "beyond spread");
  for (const json& line : comparison) {
    absl::StrAppendFormat(
        &table, "%-22s %12.3f %10.3f %12.3f %10.3f %12.3f  %s\n",
        line["measure"].get<std::string>(), line["a"].get<double>(),
        line["a_spread"].get<double>(), line["b"].get<double>(),
        line["b_spread"].get<double>(), line["difference"].get<double>(),
        line["beyond_spread"].get<bool>() ? "yes" : "no");
  }
  return table;
}

}  // namespace zinniastep::load
