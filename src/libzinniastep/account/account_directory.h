#ifndef LIBZINNIASTEP_ACCOUNT_ACCOUNT_DIRECTORY_H_
#define LIBZINNIASTEP_ACCOUNT_ACCOUNT_DIRECTORY_H_

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/configuration/snapshot.h"

namespace zinniastep {

// A client account with the team whose document it stands in.
struct Account {
  TeamId team;
  AccountRule rule;
  // The rule's allowed entries, for look-ups.
  std::set<std::string, std::less<>> allowed;
};

// The client accounts of all documents in force: who a caller is, and what it
// may use. An account may use only what its own team's document defines.
// Account ids and keys are unique in the deployment; of two teams that claim
// the same one, the first by name has it.
class AccountDirectory {
 public:
  // The configuration must outlive the directory.
  explicit AccountDirectory(const ConfigurationSnapshot& configuration);

  // Takes over the documents that are in force now. Accounts that were handed
  // out before are invalid afterwards.
  auto OnConfigurationChanged() -> void;

  // Returns the account whose key has this SHA-256 digest, or null.
  [[nodiscard]] auto Authenticate(std::string_view key_digest) const
      -> const Account*;

  // Returns the account, or null.
  [[nodiscard]] auto Find(const ClientAccountId& account) const
      -> const Account*;

  // Returns whether the account may ask for the version by the name of its
  // model or by its own.
  [[nodiscard]] auto AllowsByName(const Account& account,
                                  const ModelVersion& version) const -> bool;

  // Returns whether the account may use the cascade, or the plain service.
  [[nodiscard]] auto Allows(const Account& account,
                            const CascadeId& cascade) const -> bool;
  [[nodiscard]] auto Allows(const Account& account,
                            const ServiceId& service) const -> bool;

  // Returns whether any work of the account may run on the version: it may ask
  // for it by name, or a cascade that it may use contains it.
  [[nodiscard]] auto Allows(const Account& account,
                            const ModelVersion& version) const -> bool;

  // Returns the names that the account may put into a request's model member:
  // models, versions and cascades, without those of which no version serves.
  [[nodiscard]] auto ListModels(const Account& account) const
      -> std::vector<std::string>;

 private:
  auto Add(const TeamId& team, const AccountRule& rule) -> void;
  [[nodiscard]] auto DocumentOf(const Account& account) const
      -> const Document*;

  const ConfigurationSnapshot& configuration_;
  std::map<ClientAccountId, Account> accounts_;
  std::unordered_map<std::string, ClientAccountId> accounts_by_key_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_ACCOUNT_ACCOUNT_DIRECTORY_H_
