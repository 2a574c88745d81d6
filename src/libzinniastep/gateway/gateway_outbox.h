#ifndef LIBZINNIASTEP_GATEWAY_GATEWAY_OUTBOX_H_
#define LIBZINNIASTEP_GATEWAY_GATEWAY_OUTBOX_H_

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

#include "libzinniastep/base/random.h"
#include "libzinniastep/gateway/gateway_action.h"
#include "libzinniastep/gateway/messages.h"
#include "libzinniastep/membership/membership.h"

namespace zinniastep {

// Collects what the gateway's control state wants done, in order, and picks the
// peers that are told of something.
class GatewayOutbox {
 public:
  GatewayOutbox(const Membership& membership, std::uint64_t seed);

  // Adds an action.
  template <class A>
  auto Do(A action) -> void {
    actions_.emplace_back(std::move(action));
  }

  // Adds a log line.
  auto Log(std::string event, std::initializer_list<LogField> fields) -> void;

  // Sends a message to one peer.
  auto Send(const HostIdentity& peer, GatewayMessage message) -> void;
  auto Send(const PeerRef& peer, GatewayMessage message) -> void;

  // Sends a message to some live peers, drawn at random.
  auto SendToSome(std::size_t most, const GatewayMessage& message) -> void;

  // Returns and forgets the actions so far.
  [[nodiscard]] auto Take() -> std::vector<GatewayAction>;

 private:
  const Membership& membership_;
  Random random_;
  std::vector<GatewayAction> actions_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_GATEWAY_OUTBOX_H_
