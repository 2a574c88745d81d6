#ifndef LIBZINNIASTEP_GATEWAY_CALLER_ACCESS_H_
#define LIBZINNIASTEP_GATEWAY_CALLER_ACCESS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libzinniastep/base/ids.h"

namespace zinniastep {

// A client account and the keys that authenticate its callers.
struct ForwardingAccount {
  ClientAccountId id;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> priority;
  std::vector<RegionId> home_regions;
};

// No route needs a key, and keys that callers send are not looked up.
struct OpenAccess {};

// Routes that are not public need a key of one of these accounts. Without any
// account no key is valid: the operators took the last one away.
struct AccountAccess {
  std::vector<ForwardingAccount> accounts;
};

using AccessRule = std::variant<OpenAccess, AccountAccess>;

// The request is served without an account.
struct AnonymousCaller {};

// The request belongs to an account, which is never null and lives as long as
// the CallerAccess that identified it.
struct AccountCaller {
  const ForwardingAccount* account = nullptr;
};

// The route needs a key, and the caller sent none or one of no account.
struct UnknownCaller {};

using CallerIdentity =
    std::variant<AnonymousCaller, AccountCaller, UnknownCaller>;

// Decides from its key who a caller is. Immutable after construction.
class CallerAccess {
 public:
  explicit CallerAccess(AccessRule rule);

  // Returns who sends a request with this key, which is nullopt if the request
  // carries none. A key of an account counts on public routes too.
  [[nodiscard]] auto Identify(std::optional<std::string_view> key,
                              bool is_public_route) const -> CallerIdentity;

  // Returns the account that holds a key, or null.
  [[nodiscard]] auto FindAccount(std::string_view key) const
      -> const ForwardingAccount*;

  // Whether routes that are not public need a key.
  [[nodiscard]] auto requires_key() const -> bool;
  // The accounts whose keys are valid; empty if no key is required.
  [[nodiscard]] auto accounts() const -> std::span<const ForwardingAccount>;

 private:
  AccessRule rule_;
  // Positions in accounts(). If accounts share a key, the first one holds it.
  std::map<std::string, std::size_t, std::less<>> by_key_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_CALLER_ACCESS_H_
