#include "libzinniastep/configuration/snapshot.h"

#include <algorithm>

namespace zinniastep {

auto ConfigurationSnapshot::FindVersion(const ModelVersion& version) const
    -> const VersionRule* {
  for (const auto& [team, document] : documents) {
    const auto found =
        std::ranges::find(document.versions, version, &VersionRule::id);
    if (found != document.versions.end()) {
      return &*found;
    }
  }
  return nullptr;
}

auto ConfigurationSnapshot::IsServing(const ModelVersion& version) const
    -> bool {
  const VersionRule* rule = FindVersion(version);
  return rule != nullptr && rule->state == VersionState::kActive;
}

auto ConfigurationSnapshot::FindService(const ServiceId& service) const
    -> const ServiceRule* {
  for (const auto& [team, document] : documents) {
    const auto found =
        std::ranges::find(document.services, service, &ServiceRule::id);
    if (found != document.services.end()) {
      return &*found;
    }
  }
  return nullptr;
}

auto ConfigurationSnapshot::FindDomain(const FailureDomainId& domain) const
    -> const FailureDomainRule* {
  const auto found =
      std::ranges::find(domains.domains, domain, &FailureDomainRule::id);
  return found == domains.domains.end() ? nullptr : &*found;
}

auto ConfigurationSnapshot::IsIn(const FailureDomainId& domain) const -> bool {
  const FailureDomainRule* rule = FindDomain(domain);
  return rule != nullptr && rule->state == FailureDomainState::kIn;
}

auto ConfigurationSnapshot::FindServer(const FailureDomainId& domain,
                                       const BackendServerId& server) const
    -> const BackendServerRule* {
  const auto roster = rosters.find(domain);
  if (roster == rosters.end()) {
    return nullptr;
  }
  const auto& servers = roster->second.servers;
  const auto found = std::ranges::find(servers, server, &BackendServerRule::id);
  return found == servers.end() ? nullptr : &*found;
}

}  // namespace zinniastep
