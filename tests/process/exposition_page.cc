#include "tests/process/exposition_page.h"

#include <limits>
#include <regex>
#include <sstream>

namespace zinniastep::testing {

namespace {

auto NamePattern() -> const std::string& {
  static const std::string pattern = "([a-zA-Z_:][a-zA-Z0-9_:]*)";
  return pattern;
}

auto IsWhole(const std::string& text) -> bool {
  return !text.empty() &&
         text.find_first_not_of("0123456789") == std::string::npos;
}

}  // namespace

ExpositionPage::ExpositionPage(const std::string& text) {
  Require(text.empty() || text.back() == '\n', "the end", "has no newline");
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("#")) {
      ReadType(line);
    } else {
      ReadSample(line);
    }
  }
  CheckHistograms();
}

auto ExpositionPage::Value(const std::string& series) const
    -> std::optional<std::uint64_t> {
  const auto found = values_.find(series);
  if (found == values_.end() || !IsWhole(found->second)) {
    return std::nullopt;
  }
  return std::stoull(found->second);
}

auto ExpositionPage::ReadType(const std::string& line) -> void {
  static const std::regex form("# TYPE " + NamePattern() +
                               " (counter|gauge|histogram)");
  std::smatch parts;
  if (!std::regex_match(line, parts, form)) {
    findings_.push_back(line + ": is no type line");
    return;
  }
  Require(types_.emplace(parts[1], parts[2]).second, line, "is repeated");
}

auto ExpositionPage::ReadSample(const std::string& line) -> void {
  static const std::regex form(
      NamePattern() + R"re((\{le="([^"\\]*)"\})? ([0-9]+(\.[0-9]+)?))re");
  static const std::regex suffix("(.*)_(bucket|sum|count)");
  std::smatch parts;
  if (!std::regex_match(line, parts, form)) {
    findings_.push_back(line + ": is no sample");
    return;
  }
  const std::string name = parts[1];
  const std::string value = parts[4];
  Require(values_.emplace(name + parts[2].str(), value).second, line,
          "is repeated");
  const auto type = types_.find(name);
  if (type != types_.end() && type->second != "histogram") {
    Require(IsWhole(value) && !parts[2].matched, line, "is no " + type->second);
    return;
  }
  std::smatch name_parts;
  if (!std::regex_match(name, name_parts, suffix) ||
      !types_.contains(name_parts[1]) ||
      types_.at(name_parts[1]) != "histogram") {
    findings_.push_back(line + ": has no type");
    return;
  }
  const bool is_bucket = name_parts[2] == "bucket";
  Require(parts[2].matched == is_bucket, line, "has the wrong labels");
  Require(name_parts[2] == "sum" || IsWhole(value), line, "is no count");
  if (is_bucket && parts[2].matched && IsWhole(value)) {
    ReadBucket(line, name_parts[1], parts[3], value);
  }
}

auto ExpositionPage::ReadBucket(const std::string& line,
                                const std::string& metric,
                                const std::string& bound,
                                const std::string& value) -> void {
  static const std::regex number(R"([0-9]+(\.[0-9]+)?)");
  Buckets& buckets = buckets_[metric];
  Require(!buckets.complete, line, "follows the last bucket");
  double upper = std::numeric_limits<double>::infinity();
  if (bound == "+Inf") {
    buckets.complete = true;
  } else if (std::regex_match(bound, number)) {
    upper = std::stod(bound);
  } else {
    findings_.push_back(line + ": has a bound that is no number");
  }
  const std::uint64_t count = std::stoull(value);
  Require(upper > buckets.bound, line, "has a bound that does not ascend");
  Require(count >= buckets.count, line, "is not cumulative");
  buckets.bound = upper;
  buckets.count = count;
}

auto ExpositionPage::CheckHistograms() -> void {
  for (const auto& [metric, type] : types_) {
    if (type != "histogram") {
      Require(values_.contains(metric), metric, "has no value");
      continue;
    }
    const Buckets& buckets = buckets_[metric];
    Require(buckets.complete, metric, "has no bucket up to +Inf");
    Require(values_.contains(metric + "_sum"), metric, "has no sum");
    Require(Value(metric + "_count") == buckets.count, metric,
            "has another count than its last bucket");
  }
}

auto ExpositionPage::Require(bool holds,
                             const std::string& line,
                             const std::string& rule) -> void {
  if (!holds) {
    findings_.push_back(line + ": " + rule);
  }
}

}  // namespace zinniastep::testing
