#ifndef LIBZINNIASTEP_CONFIGURATION_RECORD_SPREAD_H_
#define LIBZINNIASTEP_CONFIGURATION_RECORD_SPREAD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/random.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/configuration/configuration_settings.h"
#include "libzinniastep/configuration/messages.h"
#include "libzinniastep/configuration/record_table.h"
#include "libzinniastep/configuration/region_tree.h"
#include "libzinniastep/core/effects.h"

namespace zinniastep {

// Where a host learned a state from.
enum class RecordOrigin : std::uint8_t { kStore, kPeer };

// Spreads states among the hosts: announcements of a few bytes go to a few
// random hosts of the region, which then ask for the content once, as a patch
// when they are only a little behind. What announcements miss is found by
// comparing digests with random peers.
class RecordSpread {
 public:
  // All references must outlive the spread.
  RecordSpread(const ConfigurationSettings& settings,
               const RecordTable& table,
               const RegionTree& tree,
               std::uint64_t seed);

  // Announces a state that came into force here. The root of a region also
  // tells the other regions of what it has from the object API.
  auto Announce(const RecordId& id,
                bool urgent,
                RecordOrigin origin,
                Effects& effects) -> void;

  // Asks for what is newer than the state held here.
  auto OnAnnounced(Instant now,
                   const HostId& from,
                   const RecordsAnnounced& message,
                   Effects& effects) -> void;

  // Sends what is asked for.
  auto OnWanted(const HostId& from,
                const RecordsWanted& message,
                Effects& effects) const -> void;

  // Lists what this host holds where its buckets differ from a peer's.
  auto OnBuckets(const HostId& from,
                 RecordScope scope,
                 std::span<const std::uint64_t> buckets,
                 Effects& effects) const -> void;

  // Sends what the peer lacks, and asks for what it holds newer.
  auto OnListed(Instant now,
                const HostId& from,
                const BucketsListed& message,
                Effects& effects) -> void;

  // Returns the whole states that a message brings. A patch that does not fit
  // is answered by asking for the whole content.
  auto OnSent(const HostId& from, const RecordsSent& message, Effects& effects)
      -> std::vector<RecordTable::Record>;

  // Returns some other host of the region; empty when there is none.
  auto RandomPeer() -> HostId;

 private:
  struct Pull {
    RecordId id;
    Instant at;
  };

  // Returns whether the state should be asked for now, and notes that it is.
  auto ShouldPull(Instant now, const RecordId& id) -> bool;
  auto Restore(const RecordContent& content) const
      -> std::optional<RecordTable::Record>;

  const ConfigurationSettings& settings_;
  const RecordTable& table_;
  const RegionTree& tree_;
  Random random_;
  std::map<ObjectPath, Pull> pulls_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_RECORD_SPREAD_H_
