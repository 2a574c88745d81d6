#ifndef LIBZINNIASTEP_CLAIM_WRITE_BUDGET_H_
#define LIBZINNIASTEP_CLAIM_WRITE_BUDGET_H_

#include "libzinniastep/base/time.h"

namespace zinniastep {

// A token bucket that bounds writes to the object API.
class WriteBudget {
 public:
  WriteBudget(double per_second, double burst);

  // Takes one write from the bucket when there is one.
  [[nodiscard]] auto Take(Instant now) -> bool;

 private:
  double per_second_;
  double burst_;
  double left_;
  Instant filled_{};
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CLAIM_WRITE_BUDGET_H_
