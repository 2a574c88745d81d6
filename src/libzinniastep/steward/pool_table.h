#ifndef LIBZINNIASTEP_STEWARD_POOL_TABLE_H_
#define LIBZINNIASTEP_STEWARD_POOL_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "libzinniastep/assignment/assignment.h"
#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/random.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/configuration/snapshot.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/core/host_identity.h"
#include "libzinniastep/membership/membership.h"
#include "libzinniastep/routing/pool_summary.h"
#include "libzinniastep/steward/messages.h"
#include "libzinniastep/steward/steward.h"
#include "libzinniastep/steward/steward_settings.h"

namespace zinniastep {

// Summaries of all pools. Stewards send their cells' sums to the failure
// domain's publisher, which adds them up; hosts fetch newer reports from each
// other, so that the cost of a host does not grow with the fleet.
class PoolTable {
 public:
  PoolTable(const Membership& membership,
            const Assignment& assignment,
            const ConfigurationSnapshot& configuration,
            StewardSettings settings,
            std::uint64_t seed);

  auto OnTime(Instant now, const Steward& steward, Effects& effects) -> void;
  auto OnCellReport(Instant now, const CellReport& report) -> void;
  auto OnDigest(Instant now,
                const PeerRef& from,
                const PoolDigest& digest,
                Effects& effects) -> void;
  auto OnUpdate(Instant now, const PoolUpdate& update) -> void;

  // Returns the newest summaries, with their ages at the last OnTime.
  [[nodiscard]] auto pools() const -> std::span<const PoolSummary> {
    return pools_;
  }

 private:
  struct HeldReport {
    DomainReport report;
    Instant made;
  };
  struct HeldCellReport {
    CellReport report;
    Instant arrived;
  };

  auto ReportCells(Instant now, const Steward& steward, Effects& effects)
      -> void;
  auto Publish(Instant now) -> void;
  auto PublishDomain(Instant now, const FailureDomainId& domain) -> void;
  auto SendDigest(Effects& effects) -> void;
  auto Rebuild(Instant now) -> void;
  [[nodiscard]] auto KnownWorkloads() const
      -> std::map<std::uint64_t, Workload>;
  [[nodiscard]] auto PublisherOf(const FailureDomainId& domain) const
      -> std::optional<HostId>;

  const Membership& membership_;
  const Assignment& assignment_;
  const ConfigurationSnapshot& configuration_;
  StewardSettings settings_;
  Random random_;
  std::map<CellId, HeldCellReport> cells_;
  std::map<FailureDomainId, HeldReport> reports_;
  std::vector<PoolSummary> pools_;
  Instant next_cell_report_;
  Instant next_publish_;
  Instant next_digest_;
  Instant next_rebuild_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_STEWARD_POOL_TABLE_H_
