#include "libzinniastep/gateway/caller_access.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include <gtest/gtest.h>

namespace zinniastep {
namespace {

constexpr bool kPublic = true;
constexpr bool kNotPublic = false;

auto Account(const std::string& name, const std::string& key)
    -> ForwardingAccount {
  ForwardingAccount account;
  account.id = ClientAccountId(name);
  account.keys = {key};
  return account;
}

// The name of the account, "none" for a caller without one, or "unknown".
auto Identity(const CallerAccess& access,
              std::optional<std::string_view> key,
              bool is_public) -> std::string {
  const CallerIdentity identity = access.Identify(key, is_public);
  if (const auto* caller = std::get_if<AccountCaller>(&identity)) {
    return caller->account->id.text();
  }
  return std::holds_alternative<UnknownCaller>(identity) ? "unknown" : "none";
}

TEST(CallerAccess, WithoutAccountsNoKeyIsValidAndNoneIsNotEnough) {
  const CallerAccess access{AccountAccess()};
  EXPECT_TRUE(access.requires_key());
  for (const std::optional<std::string_view> key :
       {std::optional<std::string_view>("k"),
        std::optional<std::string_view>(""),
        std::optional<std::string_view>()}) {
    EXPECT_EQ(Identity(access, key, kNotPublic), "unknown");
    EXPECT_EQ(Identity(access, key, kPublic), "none");
  }
}

TEST(CallerAccess, OpenAccessLooksUpNoKey) {
  const CallerAccess access{OpenAccess()};
  EXPECT_FALSE(access.requires_key());
  EXPECT_EQ(Identity(access, "k", kNotPublic), "none");
  EXPECT_EQ(Identity(access, std::nullopt, kNotPublic), "none");
}

TEST(CallerAccess, AKeyBelongsToItsAccountOnEveryRoute) {
  const CallerAccess access{
      AccountAccess{{Account("f", "k"),  //
                     Account("g", "l"), Account("h", "k")}}};
  EXPECT_EQ(Identity(access, "k", kNotPublic), "f");
  EXPECT_EQ(Identity(access, "l", kPublic), "g");
  EXPECT_EQ(Identity(access, "m", kNotPublic), "unknown");
  EXPECT_EQ(Identity(access, std::nullopt, kNotPublic), "unknown");
  EXPECT_EQ(Identity(access, "m", kPublic), "none");
}

TEST(CallerAccess, ACopyFindsItsOwnAccounts) {
  std::optional<CallerAccess> original(
      AccountAccess{{Account("f", "k"), Account("g", "l")}});
  const CallerAccess copy = *original;
  original.reset();
  EXPECT_EQ(Identity(copy, "l", kNotPublic), "g");
}

}  // namespace
}  // namespace zinniastep
