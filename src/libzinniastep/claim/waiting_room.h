#ifndef LIBZINNIASTEP_CLAIM_WAITING_ROOM_H_
#define LIBZINNIASTEP_CLAIM_WAITING_ROOM_H_

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "libzinniastep/claim/claim_key.h"
#include "libzinniastep/claim/messages.h"
#include "libzinniastep/core/host_identity.h"

namespace zinniastep {

// A request that waits for its key, and the process that asked.
struct Waiter {
  PeerRef from;
  ClaimAsk ask;
};

// The requests that wait for their key's first request. Those that find no
// room ask again later.
class WaitingRoom {
 public:
  WaitingRoom(std::size_t per_key, std::size_t keys);

  // Lets a request wait, once.
  auto Add(const Waiter& waiter) -> void;

  // Ends the wait of one request.
  auto Remove(const KeyDigest& key, const RequestId& request) -> void;

  // Returns and forgets all that wait for a key, the first one first.
  [[nodiscard]] auto Take(const KeyDigest& key) -> std::vector<Waiter>;

 private:
  std::size_t per_key_;
  std::size_t keys_;
  std::unordered_map<KeyDigest, std::vector<Waiter>> waiters_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CLAIM_WAITING_ROOM_H_
