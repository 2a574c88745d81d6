#ifndef TESTS_PROCESS_EXPOSITION_PAGE_H_
#define TESTS_PROCESS_EXPOSITION_PAGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace zinniastep::testing {

// Reads a page in the Prometheus text format as a strict collector does.
class ExpositionPage {
 public:
  explicit ExpositionPage(const std::string& text);

  // What is wrong with the page, a line each.
  auto findings() const -> const std::vector<std::string>& { return findings_; }

  // The value of a series, named with its labels as on the page; nothing when
  // it is missing or no whole number.
  auto Value(const std::string& series) const -> std::optional<std::uint64_t>;

 private:
  struct Buckets {
    double bound = -1;
    std::uint64_t count = 0;
    bool complete = false;
  };

  auto ReadType(const std::string& line) -> void;
  auto ReadSample(const std::string& line) -> void;
  auto ReadBucket(const std::string& line,
                  const std::string& metric,
                  const std::string& bound,
                  const std::string& value) -> void;
  auto CheckHistograms() -> void;
  auto Require(bool holds, const std::string& line, const std::string& rule)
      -> void;

  std::vector<std::string> findings_;
  std::map<std::string, std::string> types_;
  std::map<std::string, std::string> values_;
  std::map<std::string, Buckets> buckets_;
};

}  // namespace zinniastep::testing

#endif  // TESTS_PROCESS_EXPOSITION_PAGE_H_
