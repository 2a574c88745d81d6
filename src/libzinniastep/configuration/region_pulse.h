#ifndef LIBZINNIASTEP_CONFIGURATION_REGION_PULSE_H_
#define LIBZINNIASTEP_CONFIGURATION_REGION_PULSE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/configuration/configuration_settings.h"
#include "libzinniastep/configuration/known_hosts.h"
#include "libzinniastep/configuration/messages.h"
#include "libzinniastep/configuration/record_table.h"
#include "libzinniastep/configuration/region_tree.h"
#include "libzinniastep/configuration/stamp_book.h"
#include "libzinniastep/core/cluster_view.h"
#include "libzinniastep/core/effects.h"

namespace zinniastep {

// What the hosts of this host's subtree hold; at the root, of the region.
struct SubtreeCount {
  std::uint32_t hosts = 0;
  // How many hold just what this host holds.
  std::uint32_t same = 0;
  // When the oldest of the contacts that are counted took place.
  Instant oldest;
  // Number of hosts by path hash and generation, for states that came into
  // force lately.
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint32_t> recent;
};

// The pulse of a region: once a second a wave runs down the region's tree with
// news and up with sums, at a cost for each host that does not depend on the
// number of hosts. Knows how old this host's news is.
class RegionPulse {
 public:
  // All references must outlive the pulse.
  RegionPulse(const ClusterView& cluster,
              const ConfigurationSettings& settings,
              const RecordTable& table,
              const RegionTree& tree,
              StampBook& stamps);

  // Starts a wave when it is time. `serving` says whether this host holds the
  // configuration that its news speaks for, and so may pass news on.
  auto OnTime(Instant now, bool serving, Effects& effects) -> void;

  // Takes in a beat and hands it on when it comes from the parent. Returns when
  // this host last wrote to the sender before the beat, if that is known.
  auto OnBeat(Instant now,
              const HostId& from,
              const BeatRelayed& beat,
              bool serving,
              Effects& effects) -> std::optional<Instant>;
  auto OnSubtree(Instant now, const HostId& from, const SubtreeReported& report)
      -> void;
  // Takes in another region's report; returns as OnBeat does.
  auto OnRegion(Instant now, const HostId& from, const RegionReported& report)
      -> std::optional<Instant>;

  // Notes news as of a time on this host's clock.
  auto OnNews(Instant at) -> void;

  // Notes that a state came into force on this host.
  auto OnInForce(Instant now, const RecordId& id) -> void;

  // Returns the time of the newest news on this host's clock.
  [[nodiscard]] auto news_at() const -> std::optional<Instant> {
    return news_at_;
  }

  // Returns the sums over this host's subtree.
  [[nodiscard]] auto Count(Instant now) const -> SubtreeCount;

 private:
  struct RecentRecord {
    RecordId id;
    Instant since;
  };
  struct ChildReport {
    Instant at;
    SubtreeReported report;
  };
  struct RegionCount {
    Instant at;
    std::uint32_t hosts = 0;
  };

  auto StartWave(Instant now, bool serving, Effects& effects) -> void;
  auto ReportToParent(Instant now, Effects& effects) -> void;
  auto ReportToRegions(Instant now, bool serving, Effects& effects) -> void;
  auto FindMajority(Instant now) -> void;
  auto ForgetStrangers() -> void;
  auto AddRecent(Instant now, SubtreeCount& count) const -> void;
  [[nodiscard]] auto Age(Instant now, bool serving) const -> NewsAge;

  const ClusterView& cluster_;
  const ConfigurationSettings& settings_;
  const RecordTable& table_;
  const RegionTree& tree_;
  StampBook& stamps_;
  KnownHosts known_hosts_;
  std::optional<Instant> news_at_;
  Instant last_wave_;
  std::uint64_t waves_ = 0;
  std::map<HostId, ChildReport> children_;
  std::map<HostId, RegionCount> regions_;
  std::deque<RecentRecord> recent_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_REGION_PULSE_H_
