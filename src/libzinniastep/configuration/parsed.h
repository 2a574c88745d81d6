#ifndef LIBZINNIASTEP_CONFIGURATION_PARSED_H_
#define LIBZINNIASTEP_CONFIGURATION_PARSED_H_

#include <optional>

#include "libzinniastep/base/finding.h"

namespace zinniastep {

// What a reader made of a text: a value, or everything that is wrong with the
// text. There is a value exactly when there are no findings.
template <class T>
struct Parsed {
  std::optional<T> value;
  Findings findings;

  [[nodiscard]] auto ok() const -> bool { return value.has_value(); }
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_PARSED_H_
