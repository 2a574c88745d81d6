#include "libzinniastep/routing/retry_budget.h"

#include <algorithm>

namespace zinniastep {

RetryBudget::RetryBudget(double share, double burst)
    : share_(share), burst_(burst), left_(burst) {}

auto RetryBudget::OnSuccess() -> void {
  left_ = std::min(burst_, left_ + share_);
}

auto RetryBudget::TrySpend() -> bool {
  if (left_ < 1.0) {
    return false;
  }
  left_ -= 1.0;
  return true;
}

}  // namespace zinniastep
