#include "libzinniastep/gateway/gateway_membership.h"

namespace zinniastep {

auto GatewayMembership(const GatewaySettings& settings) -> MembershipSettings {
  MembershipSettings membership;
  // Callers must not be sent to a lost host for more than some seconds: a peer
  // suspects it within half a second, and it then has one second to refute. A
  // host that was declared lost by mistake is live again with its next message.
  membership.probe_period = std::chrono::milliseconds(400);
  membership.probe_timeout = std::chrono::milliseconds(200);
  membership.suspicion = std::chrono::milliseconds(1000);
  // An answer can wait unread beyond its timeout in any longer gap.
  membership.pause = membership.probe_timeout;
  // Each read is a priced call, and peers report new hosts much sooner.
  membership.host_list_period = std::chrono::seconds(60);
  membership.seeds = settings.seeds;
  return membership;
}

}  // namespace zinniastep
