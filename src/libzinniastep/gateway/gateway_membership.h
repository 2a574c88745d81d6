#ifndef LIBZINNIASTEP_GATEWAY_GATEWAY_MEMBERSHIP_H_
#define LIBZINNIASTEP_GATEWAY_GATEWAY_MEMBERSHIP_H_

#include "libzinniastep/gateway/gateway_settings.h"
#include "libzinniastep/membership/membership.h"

namespace zinniastep {

// Returns the settings of the membership protocol for gateway hosts.
[[nodiscard]] auto GatewayMembership(const GatewaySettings& settings)
    -> MembershipSettings;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_GATEWAY_MEMBERSHIP_H_
