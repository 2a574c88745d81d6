#ifndef LIBZINNIASTEP_BASE_FINDING_H_
#define LIBZINNIASTEP_BASE_FINDING_H_

#include <string>
#include <vector>

namespace zinniastep {

// Something wrong with an input, and where. The place is a JSON pointer.
struct Finding {
  std::string place;
  std::string message;

  auto operator==(const Finding&) const -> bool = default;
};

using Findings = std::vector<Finding>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_BASE_FINDING_H_
