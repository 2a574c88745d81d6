#ifndef TESTS_SUPPORT_CONFIGURATION_TEXT_H_
#define TESTS_SUPPORT_CONFIGURATION_TEXT_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "libzinniastep/base/random.h"

namespace zinniastep::testing {

// Writes configurations with many routes, as long as those of a deployment.
// The text begins with the version, as the fleet in virtual time reads it.
class ConfigurationText {
 public:
  explicit ConfigurationText(std::uint64_t seed) : random_(seed) {}

  // Adds routes to all later versions.
  auto AddRoutes(std::size_t count) -> void {
    for (std::size_t i = 0; i < count; ++i) {
      routes_ += R"({"Name":"r-)" + Word(7) +
                 R"(","Host":"ficu95.example","PathPrefix":"/)" + Word(7) +
                 R"(/","Kind":"idempotent","TimeoutMs":2000,)"
                 R"("TargetLatencyMs":150,"Priority":2,"Service":"wuno96b",)"
                 R"("Attempts":3,"Public":false,"AllowedRegions":[]},)";
    }
  }

  // Returns the text of a version.
  [[nodiscard]] auto Version(std::uint64_t version) const -> std::string {
    return std::to_string(version) + " " + routes_;
  }

 private:
  auto Word(std::size_t length) -> std::string {
    std::string word;
    for (std::size_t i = 0; i < length; ++i) {
      const auto digit = static_cast<char>(random_.Below(36));
      word += static_cast<char>(digit < 10 ? '0' + digit : 'a' + digit - 10);
    }
    return word;
  }

  Random random_;
  std::string routes_;
};

}  // namespace zinniastep::testing

#endif  // TESTS_SUPPORT_CONFIGURATION_TEXT_H_
