#include "libzinniastep/claim/write_budget.h"

#include <algorithm>

namespace zinniastep {

WriteBudget::WriteBudget(double per_second, double burst)
    : per_second_(per_second), burst_(burst), left_(burst) {}

auto WriteBudget::Take(Instant now) -> bool {
  const std::chrono::duration<double> passed = now - filled_;
  left_ = std::min(burst_, left_ + passed.count() * per_second_);
  filled_ = now;
  if (left_ < 1.0) {
    return false;
  }
  left_ -= 1.0;
  return true;
}

}  // namespace zinniastep
