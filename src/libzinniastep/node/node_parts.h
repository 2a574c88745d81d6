#ifndef LIBZINNIASTEP_NODE_NODE_PARTS_H_
#define LIBZINNIASTEP_NODE_NODE_PARTS_H_

#include <cstdint>

#include "libzinniastep/account/account_directory.h"
#include "libzinniastep/assignment/assignment.h"
#include "libzinniastep/assignment/cluster.h"
#include "libzinniastep/base/random.h"
#include "libzinniastep/billing/bill_book.h"
#include "libzinniastep/cascade/cascade_planner.h"
#include "libzinniastep/claim/claim_desk.h"
#include "libzinniastep/configuration/configuration_book.h"
#include "libzinniastep/core/host_identity.h"
#include "libzinniastep/membership/membership.h"
#include "libzinniastep/node/node_options.h"
#include "libzinniastep/node/shutdown.h"
#include "libzinniastep/report/decision_log.h"
#include "libzinniastep/request/request_flow.h"
#include "libzinniastep/rollout/rollouts.h"
#include "libzinniastep/routing/admission.h"
#include "libzinniastep/routing/pool_chooser.h"
#include "libzinniastep/routing/retry_budget.h"
#include "libzinniastep/session/session_tokens.h"
#include "libzinniastep/steward/credits.h"

namespace zinniastep {

// All aggregates of one node, in the order in which they need each other. The
// cluster only keeps a reference to the assignment, which is made after it.
struct NodeParts {
  NodeParts(HostIdentity identity, NodeOptions settings, std::uint64_t seed);
  NodeParts(const NodeParts&) = delete;
  auto operator=(const NodeParts&) -> NodeParts& = delete;
  ~NodeParts() = default;

  HostIdentity self;
  NodeOptions options;
  Random random;
  Membership membership;
  Cluster cluster;
  ConfigurationBook configuration;
  Assignment assignment;
  AccountDirectory accounts;
  SessionTokens sessions;
  CascadePlanner planner;
  Rollouts rollouts;
  Admission admission;
  ClaimDesk claims;
  PoolChooser pools;
  Credits credits;
  RetryBudget retries;
  BillBook bills;
  DecisionLog decisions;
  RequestFlow requests;
  Shutdown shutdown;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_NODE_NODE_PARTS_H_
