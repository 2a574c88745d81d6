#ifndef LIBZINNIASTEP_STEWARD_CREDIT_ASK_H_
#define LIBZINNIASTEP_STEWARD_CREDIT_ASK_H_

#include <cstdint>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/core/call.h"
#include "libzinniastep/routing/pool_summary.h"

namespace zinniastep {

// What a request needs of a backend server in one failure domain.
struct CreditAsk {
  RequestId request;
  FailureDomainId domain;
  // In order of preference.
  std::vector<Workload> acceptable;
  std::uint64_t prefix_hash = 0;
  Priority priority = Priority::kNormal;
  ClientAccountId account;
  // The account's weight in sharing capacity.
  double share = 1.0;
  // How long the request may wait for the credit.
  Duration deadline{0};
  // How long the attempt may take.
  Duration attempt_timeout{0};
};

// What came of the attempt that a credit was for.
enum class CreditResult : std::uint8_t {
  kAnswered,
  // The backend server answered that it is overloaded.
  kOverloaded,
  kBroken,
  kNotSent,
};

// The result and what the steward learns from it.
struct CreditOutcome {
  CreditResult result = CreditResult::kNotSent;
  // Time to the first token; zero when none came.
  Duration first_token{0};
  // The backend server's incarnation that answered; zero when unknown.
  Incarnation server_incarnation = 0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_STEWARD_CREDIT_ASK_H_
