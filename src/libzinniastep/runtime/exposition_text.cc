#include "libzinniastep/runtime/exposition_text.h"

#include "absl/strings/str_cat.h"

namespace zinniastep {

namespace {

constexpr char kPrefix[] = "zinniastep_";
constexpr std::size_t kMicrosecondDigits = 6;

auto IsNameCharacter(char c) -> bool {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '_' || c == ':';
}

// Seconds as an exact decimal number.
auto SecondsText(Duration time) -> std::string {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time);
  std::string text = std::to_string(seconds.count());
  std::string digits = std::to_string((time - seconds).count());
  digits.insert(0, kMicrosecondDigits - digits.size(), '0');
  digits.erase(digits.find_last_not_of('0') + 1);
  if (!digits.empty()) {
    text += "." + digits;
  }
  return text;
}

auto TypeLine(const std::string& name, const char* type) -> std::string {
  return absl::StrCat("# TYPE ", name, " ", type, "\n");
}

auto SampleText(const std::string& name, const char* type, std::uint64_t value)
    -> std::string {
  const std::string series = absl::StrCat(kPrefix, name);
  return absl::StrCat(TypeLine(series, type), series, " ", value, "\n");
}

auto HistogramText(const std::string& name, const TimeHistogram& histogram)
    -> std::string {
  const std::string series = absl::StrCat(kPrefix, name, "_seconds");
  std::string text = TypeLine(series, "histogram");
  const auto bounds = TimeHistogram::Bounds();
  const auto buckets = histogram.buckets();
  std::uint64_t count = 0;
  for (std::size_t i = 0; i < buckets.size(); ++i) {
    count += buckets[i];
    const std::string bound =
        i < bounds.size() ? SecondsText(bounds[i]) : "+Inf";
    absl::StrAppend(&text, series, "_bucket{le=\"", bound, "\"} ", count, "\n");
  }
  absl::StrAppend(&text, series, "_sum ", SecondsText(histogram.sum()), "\n");
  absl::StrAppend(&text, series, "_count ", count, "\n");
  return text;
}

}  // namespace

auto ExpositionName(std::string_view name) -> std::string {
  std::string result(name);
  for (char& c : result) {
    if (!IsNameCharacter(c)) {
      c = '_';
    }
  }
  return result;
}

auto ExpositionText(const MetricsSnapshot& metrics) -> std::string {
  std::string text;
  for (const auto& [name, value] : metrics.counters) {
    text += SampleText(name, "counter", value);
  }
  for (const auto& [name, value] : metrics.gauges) {
    text += SampleText(name, "gauge", value);
  }
  for (const auto& [name, histogram] : metrics.histograms) {
    text += HistogramText(name, histogram);
  }
  return text;
}

}  // namespace zinniastep
