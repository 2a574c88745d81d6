#ifndef LIBZINNIASTEP_CLAIM_REPLAY_CACHE_H_
#define LIBZINNIASTEP_CLAIM_REPLAY_CACHE_H_

#include <cstddef>
#include <deque>
#include <unordered_map>

#include "libzinniastep/base/time.h"
#include "libzinniastep/claim/claim_key.h"
#include "libzinniastep/claim/claim_limits.h"
#include "libzinniastep/core/call.h"

namespace zinniastep {

// The answers of finished keys, oldest first, bounded in number, bytes and
// time.
class ReplayCache {
 public:
  explicit ReplayCache(const ClaimLimits& limits);

  // Keeps a key's answer unless it is too long.
  auto Keep(Instant now, const KeyDigest& key, SharedAnswer answer) -> void;

  // Returns a key's answer; null when it is not kept.
  [[nodiscard]] auto Find(const KeyDigest& key) const -> SharedAnswer;

  // Drops answers whose time is over.
  auto OnTime(Instant now) -> void;

  // Returns the sum of the kept bodies' sizes.
  [[nodiscard]] auto bytes() const -> std::size_t { return bytes_; }

 private:
  struct Kept {
    Instant since;
    KeyDigest key;
  };

  auto DropOldest() -> void;

  ClaimLimits limits_;
  std::deque<Kept> order_;
  std::unordered_map<KeyDigest, SharedAnswer> answers_;
  std::size_t bytes_ = 0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CLAIM_REPLAY_CACHE_H_
