#ifndef LIBZINNIASTEP_CORE_STORE_TOKENS_H_
#define LIBZINNIASTEP_CORE_STORE_TOKENS_H_

#include <cstdint>

#include "libzinniastep/core/event.h"

namespace zinniastep {

// The aggregate that a request to the object API belongs to; it is kept in the
// token's lowest bits, so that the node can hand the answer back.
enum class StoreUser : std::uint8_t {
  kConfiguration,
  kAssignment,
  kClaim,
  kBilling,
  kRollout,
  kPlacement,
};

// Issues the tokens of one aggregate.
class StoreTokens {
 public:
  explicit StoreTokens(StoreUser user) : user_(user) {}

  // Returns a token that this process has not used yet.
  auto Next() -> StoreToken {
    ++count_;
    return (count_ << kUserBits) | static_cast<StoreToken>(user_);
  }

  // Returns whose token it is.
  [[nodiscard]] static auto User(StoreToken token) -> StoreUser {
    return static_cast<StoreUser>(token & ((1U << kUserBits) - 1));
  }

 private:
  static constexpr unsigned kUserBits = 4;

  StoreUser user_;
  StoreToken count_ = 0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CORE_STORE_TOKENS_H_
