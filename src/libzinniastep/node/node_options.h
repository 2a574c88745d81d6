#ifndef LIBZINNIASTEP_NODE_NODE_OPTIONS_H_
#define LIBZINNIASTEP_NODE_NODE_OPTIONS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "libzinniastep/assignment/assignment.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/billing/bill_limits.h"
#include "libzinniastep/cascade/cascade_planner.h"
#include "libzinniastep/claim/claim_limits.h"
#include "libzinniastep/configuration/configuration_settings.h"
#include "libzinniastep/membership/membership.h"
#include "libzinniastep/routing/admission.h"
#include "libzinniastep/routing/pool_chooser.h"
#include "libzinniastep/steward/steward_settings.h"

namespace zinniastep {

// How a node's aggregates are set up.
struct NodeOptions {
  MembershipSettings membership;
  AssignmentSettings assignment;
  StewardSettings steward;
  ConfigurationSettings configuration;
  ClaimLimits claims;
  BillLimits bills;
  AdmissionOptions admission;
  CascadeOptions cascades;
  PoolCosts pool_costs;
  // The first key signs session tokens; all are accepted.
  std::vector<std::string> session_keys;
  // How long callers may keep an answer about addresses.
  Duration address_time_to_live = std::chrono::seconds(5);
  // Longest graceful shutdown; what is still open shortly before is ended, and
  // its callers are told.
  Duration longest_shutdown = std::chrono::minutes(2);
  // Addresses that one answer names.
  std::size_t most_addresses = 8;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_NODE_NODE_OPTIONS_H_
