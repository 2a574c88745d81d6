#ifndef LIBZINNIASTEP_CLAIM_CLAIM_OUTBOX_H_
#define LIBZINNIASTEP_CLAIM_CLAIM_OUTBOX_H_

#include <optional>
#include <utility>
#include <vector>

#include "libzinniastep/claim/messages.h"
#include "libzinniastep/core/host_identity.h"

namespace zinniastep {

// A claim message and the process that it goes to.
struct AddressedClaim {
  PeerRef to;
  ClaimMessage message;
};

// Collects the messages of one step, so that those to this process itself can
// be handed over without the network.
class ClaimOutbox {
 public:
  // Adds a message.
  auto Send(const PeerRef& to, ClaimMessage message) -> void {
    messages_.push_back({to, std::move(message)});
  }

  // Returns and forgets the messages so far.
  [[nodiscard]] auto Take() -> std::vector<AddressedClaim> {
    return std::exchange(messages_, {});
  }

 private:
  std::vector<AddressedClaim> messages_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CLAIM_CLAIM_OUTBOX_H_
