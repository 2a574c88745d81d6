#ifndef LIBZINNIASTEP_WIRE_PEER_MESSAGE_H_
#define LIBZINNIASTEP_WIRE_PEER_MESSAGE_H_

#include <variant>

#include "libzinniastep/assignment/messages.h"
#include "libzinniastep/billing/messages.h"
#include "libzinniastep/claim/messages.h"
#include "libzinniastep/configuration/messages.h"
#include "libzinniastep/gateway/messages.h"
#include "libzinniastep/membership/messages.h"
#include "libzinniastep/rollout/messages.h"
#include "libzinniastep/steward/messages.h"

namespace zinniastep {

// Any message between two processes of the system. Each aggregate owns the
// messages of one alternative; a new alternative goes to the end.
using PeerMessage = std::variant<MembershipMessage,
                                 AssignmentMessage,
                                 ClaimMessage,
                                 BillingMessage,
                                 StewardMessage,
                                 ConfigurationMessage,
                                 EvidenceMessage,
                                 GatewayMessage>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_WIRE_PEER_MESSAGE_H_
