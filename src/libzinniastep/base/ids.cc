#include "libzinniastep/base/ids.h"

#include <array>
#include <cstdio>

namespace zinniastep {

auto ToString(const ModelVersion& version) -> std::string {
  return version.model + "@" + version.version;
}

auto ToString(const RequestId& request) -> std::string {
  std::array<char, 48> text{};
  std::snprintf(text.data(), text.size(), "%016llx-%llx",
                static_cast<unsigned long long>(request.incarnation),
                static_cast<unsigned long long>(request.sequence));
  return std::string(text.data());
}

auto ToString(const AttemptId& attempt) -> std::string {
  return ToString(attempt.request) + "." + std::to_string(attempt.number);
}

}  // namespace zinniastep
