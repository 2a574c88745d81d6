#include "libzinniastep/gateway/caller_access.h"

#include <utility>

#include "libzinniastep/base/overloaded.h"

namespace zinniastep {

CallerAccess::CallerAccess(AccessRule rule) : rule_(std::move(rule)) {
  const auto known = accounts();
  for (std::size_t index = 0; index < known.size(); ++index) {
    for (const std::string& key : known[index].keys) {
      by_key_.emplace(key, index);
    }
  }
}

auto CallerAccess::Identify(std::optional<std::string_view> key,
                            bool is_public_route) const -> CallerIdentity {
  return std::visit(
      Overloaded{
          [](const OpenAccess&) -> CallerIdentity { return AnonymousCaller(); },
          [&](const AccountAccess&) -> CallerIdentity {
            const ForwardingAccount* account =
                key.has_value() ? FindAccount(*key) : nullptr;
            if (account != nullptr) {
              return AccountCaller{account};
            }
            if (is_public_route) {
              return AnonymousCaller();
            }
            return UnknownCaller();
          }},
      rule_);
}

auto CallerAccess::FindAccount(std::string_view key) const
    -> const ForwardingAccount* {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : &accounts()[found->second];
}

auto CallerAccess::requires_key() const -> bool {
  return std::holds_alternative<AccountAccess>(rule_);
}

auto CallerAccess::accounts() const -> std::span<const ForwardingAccount> {
  const auto* rule = std::get_if<AccountAccess>(&rule_);
  return rule == nullptr ? std::span<const ForwardingAccount>()
                         : std::span(rule->accounts);
}

}  // namespace zinniastep
