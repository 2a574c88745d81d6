#ifndef LIBZINNIASTEP_REQUEST_REQUEST_SERVICES_H_
#define LIBZINNIASTEP_REQUEST_REQUEST_SERVICES_H_

#include "libzinniastep/core/host_identity.h"

namespace zinniastep {

struct ConfigurationSnapshot;
class AccountDirectory;
class Admission;
class BillBook;
class CascadePlanner;
class ClaimDesk;
class Credits;
class DecisionLog;
class PoolChooser;
class RetryBudget;
class Rollouts;
class SessionTokens;

// The aggregates that a request meets on its way. The node owns them all, and
// they outlive the requests.
struct RequestServices {
  const HostIdentity& self;
  const ConfigurationSnapshot& configuration;
  const AccountDirectory& accounts;
  const SessionTokens& sessions;
  Rollouts& rollouts;
  CascadePlanner& planner;
  Admission& admission;
  ClaimDesk& claims;
  PoolChooser& pools;
  Credits& credits;
  RetryBudget& retries;
  BillBook& bills;
  DecisionLog& decisions;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_REQUEST_REQUEST_SERVICES_H_
