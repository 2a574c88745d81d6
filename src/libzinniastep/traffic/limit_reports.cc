#include "libzinniastep/traffic/limit_reports.h"

#include <utility>

namespace zinniastep {

auto LimitReports::Take() -> Counts {
  return std::exchange(counts_, {});
}

}  // namespace zinniastep
