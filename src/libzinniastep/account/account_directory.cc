#include "libzinniastep/account/account_directory.h"

#include <algorithm>
#include <utility>

namespace zinniastep {

namespace {

// Returns whether a name of a document stands for the version: it is the
// version's own, or its model's.
auto Names(std::string_view name, const ModelVersion& version) -> bool {
  return name == version.model || name == ToString(version);
}

auto Defines(const Document& document, const ModelVersion& version) -> bool {
  return std::ranges::find(document.versions, version, &VersionRule::id) !=
         document.versions.end();
}

auto FindCascade(const Document& document, std::string_view name)
    -> const CascadeRule* {
  const auto found = std::ranges::find_if(
      document.cascades,
      [name](const CascadeRule& rule) { return rule.id.text() == name; });
  return found == document.cascades.end() ? nullptr : &*found;
}

// Returns whether one of the versions that a name stands for serves.
auto AnyServes(const Document& document, std::string_view name) -> bool {
  return std::ranges::any_of(
      document.versions, [name](const VersionRule& rule) {
        return rule.state == VersionState::kActive && Names(name, rule.id);
      });
}

}  // namespace

AccountDirectory::AccountDirectory(const ConfigurationSnapshot& configuration)
    : configuration_(configuration) {
  OnConfigurationChanged();
}

auto AccountDirectory::OnConfigurationChanged() -> void {
  accounts_.clear();
  accounts_by_key_.clear();
  for (const auto& [team, document] : configuration_.documents) {
    for (const AccountRule& rule : document.accounts) {
      Add(team, rule);
    }
  }
}

auto AccountDirectory::Add(const TeamId& team, const AccountRule& rule)
    -> void {
  Account account{team, rule, {rule.allowed.begin(), rule.allowed.end()}};
  if (!accounts_.try_emplace(rule.id, std::move(account)).second) {
    return;
  }
  for (const std::string& digest : rule.key_digests) {
    accounts_by_key_.try_emplace(digest, rule.id);
  }
}

auto AccountDirectory::DocumentOf(const Account& account) const
    -> const Document* {
  const auto found = configuration_.documents.find(account.team);
  return found == configuration_.documents.end() ? nullptr : &found->second;
}

auto AccountDirectory::Authenticate(std::string_view key_digest) const
    -> const Account* {
  const auto found = accounts_by_key_.find(std::string(key_digest));
  return found == accounts_by_key_.end() ? nullptr : Find(found->second);
}

auto AccountDirectory::Find(const ClientAccountId& account) const
    -> const Account* {
  const auto found = accounts_.find(account);
  return found == accounts_.end() ? nullptr : &found->second;
}

auto AccountDirectory::AllowsByName(const Account& account,
                                    const ModelVersion& version) const -> bool {
  const Document* document = DocumentOf(account);
  return document != nullptr && Defines(*document, version) &&
         (account.allowed.contains(version.model) ||
          account.allowed.contains(ToString(version)));
}

auto AccountDirectory::Allows(const Account& account,
                              const CascadeId& cascade) const -> bool {
  const Document* document = DocumentOf(account);
  return document != nullptr && account.allowed.contains(cascade.text()) &&
         FindCascade(*document, cascade.text()) != nullptr;
}

auto AccountDirectory::Allows(const Account& account,
                              const ServiceId& service) const -> bool {
  const Document* document = DocumentOf(account);
  return document != nullptr && account.allowed.contains(service.text()) &&
         std::ranges::find(document->services, service, &ServiceRule::id) !=
             document->services.end();
}

auto AccountDirectory::Allows(const Account& account,
                              const ModelVersion& version) const -> bool {
  if (AllowsByName(account, version)) {
    return true;
  }
  const Document* document = DocumentOf(account);
  if (document == nullptr || !Defines(*document, version)) {
    return false;
  }
  return std::ranges::any_of(
      document->cascades, [&](const CascadeRule& cascade) {
        return account.allowed.contains(cascade.id.text()) &&
               std::ranges::any_of(cascade.models,
                                   [&version](const std::string& name) {
                                     return Names(name, version);
                                   });
      });
}

auto AccountDirectory::ListModels(const Account& account) const
    -> std::vector<std::string> {
  std::vector<std::string> names;
  const Document* document = DocumentOf(account);
  if (document == nullptr) {
    return names;
  }
  for (const std::string& name : account.allowed) {
    const CascadeRule* cascade = FindCascade(*document, name);
    const bool serves =
        cascade == nullptr
            ? AnyServes(*document, name)
            : std::ranges::any_of(cascade->models,
                                  [document](const std::string& model) {
                                    return AnyServes(*document, model);
                                  });
    if (serves) {
      names.push_back(name);
    }
  }
  return names;
}

}  // namespace zinniastep
