#ifndef LIBZINNIASTEP_CONFIGURATION_SNAPSHOT_H_
#define LIBZINNIASTEP_CONFIGURATION_SNAPSHOT_H_

#include <map>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/configuration/document.h"

namespace zinniastep {

// All configuration that is in force on this host.
struct ConfigurationSnapshot {
  std::map<TeamId, Document> documents;
  FailureDomainMap domains;
  std::map<FailureDomainId, ServerRoster> rosters;

  // Returns the version's rule, or null for an unknown version.
  [[nodiscard]] auto FindVersion(const ModelVersion& version) const
      -> const VersionRule*;

  // Returns whether new work may run on the version: it is known and not
  // withdrawn.
  [[nodiscard]] auto IsServing(const ModelVersion& version) const -> bool;

  // Returns the rule of a plain service, or null.
  [[nodiscard]] auto FindService(const ServiceId& service) const
      -> const ServiceRule*;

  // Returns the rule of a failure domain, or null.
  [[nodiscard]] auto FindDomain(const FailureDomainId& domain) const
      -> const FailureDomainRule*;

  // Returns whether new work may go to the failure domain: it is known and not
  // taken out.
  [[nodiscard]] auto IsIn(const FailureDomainId& domain) const -> bool;

  // Returns the rule of a backend server, or null.
  [[nodiscard]] auto FindServer(const FailureDomainId& domain,
                                const BackendServerId& server) const
      -> const BackendServerRule*;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_SNAPSHOT_H_
