#ifndef LIBZINNIASTEP_CONFIGURATION_CONFIGURATION_BOOK_H_
#define LIBZINNIASTEP_CONFIGURATION_CONFIGURATION_BOOK_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include <absl/status/status.h>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/configuration/configuration_settings.h"
#include "libzinniastep/configuration/configuration_watch.h"
#include "libzinniastep/configuration/in_force_configuration.h"
#include "libzinniastep/configuration/messages.h"
#include "libzinniastep/configuration/record_content.h"
#include "libzinniastep/configuration/record_proposals.h"
#include "libzinniastep/configuration/record_spread.h"
#include "libzinniastep/configuration/record_table.h"
#include "libzinniastep/configuration/region_pulse.h"
#include "libzinniastep/configuration/region_tree.h"
#include "libzinniastep/configuration/snapshot.h"
#include "libzinniastep/configuration/stamp_book.h"
#include "libzinniastep/configuration/status_writer.h"
#include "libzinniastep/core/cluster_view.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/core/host_identity.h"
#include "libzinniastep/core/store_tokens.h"

namespace zinniastep {

// The configuration that is in force on this host. It only ever goes forward,
// object by object, wherever a state comes from: the object API, a peer, or a
// change that this host proposed itself. Invalid content is refused with all
// findings, and the last good state stays in force.
class ConfigurationBook {
 public:
  // `seed` must differ between two runs of a process.
  ConfigurationBook(const ClusterView& cluster,
                    ConfigurationSettings settings,
                    std::uint64_t seed);
  ConfigurationBook(const ConfigurationBook&) = delete;
  auto operator=(const ConfigurationBook&) -> ConfigurationBook& = delete;

  auto OnTime(Instant now, Effects& effects) -> void;
  auto OnMessage(Instant now,
                 const PeerRef& from,
                 const ConfigurationMessage& message,
                 Effects& effects) -> void;
  auto OnStore(Instant now, const StoreAnswered& answered, Effects& effects)
      -> void;

  // Returns the configuration in force. The reference stays good.
  [[nodiscard]] auto snapshot() const -> const ConfigurationSnapshot& {
    return in_force_.snapshot();
  }

  // Returns the states in force.
  [[nodiscard]] auto records() const -> const RecordTable& {
    return in_force_.table();
  }

  // Returns whether this host may take new work: it has caught up with its
  // peers or the object API since it started or was last cut off, and its news
  // is at most kNewsLimit old.
  [[nodiscard]] auto HasNews(Instant now) const -> bool;

  // Writes a changed document by conditional update in place of the one in
  // force from which it was made: `document` still carries that generation.
  // Whether it came into force is told by ConfigurationChanged.
  auto ProposeDocument(Instant now, Document document, Effects& effects)
      -> absl::Status;

 private:
  auto NoteTime(Instant now) -> void;
  auto RefreshTree(Instant now) -> void;
  auto AskDigest(Instant now, Effects& effects) -> void;
  auto FollowStore(Instant now, Effects& effects) -> void;
  // Takes the object API's word for the newest configuration when no peer with
  // news has contradicted it for a while. Alone it is not enough: it may have
  // been restored to an older state than the one in force.
  auto CatchUpAlone(Instant now) -> void;
  [[nodiscard]] auto WatchedPrefixes() const -> std::set<std::string>;

  auto OnDigestAsked(Instant now,
                     const HostId& from,
                     const DigestAsked& message,
                     Effects& effects) -> void;
  auto OnDigestAnswered(const HostId& from,
                        const DigestAnswered& message,
                        Effects& effects) -> void;
  auto OnBeat(Instant now,
              const HostId& from,
              const BeatRelayed& beat,
              Effects& effects) -> void;
  auto OnRegionReported(Instant now,
                        const HostId& from,
                        const RegionReported& message,
                        Effects& effects) -> void;
  auto OnRecordsSent(Instant now,
                     const HostId& from,
                     const RecordsSent& message,
                     Effects& effects) -> void;

  // Passes on a state that has just come into force.
  auto Accept(Instant now,
              const AcceptedRecord& accepted,
              RecordOrigin origin,
              Effects& effects) -> void;
  auto TakeFromStore(Instant now, const StoredObject& object, Effects& effects)
      -> void;

  const ClusterView& cluster_;
  const ConfigurationSettings settings_;
  StoreTokens tokens_{StoreUser::kConfiguration};
  InForceConfiguration in_force_;
  RegionTree tree_;
  StampBook stamps_;
  RegionPulse pulse_;
  RecordSpread spread_;
  ConfigurationWatch watch_;
  RecordProposals proposals_;
  StatusWriter status_;
  std::optional<Instant> started_at_;
  Instant last_event_;
  Instant tree_at_;
  std::uint64_t tree_signature_ = 0;
  Instant digest_at_;
  // The configuration was compared with a peer's, or listed, at or after this
  // time; only then does news speak for it.
  Instant lapsed_at_;
  bool caught_up_ = false;
  // Since when all that the object API holds is known here, unless caught up.
  std::optional<Instant> listed_at_;
  // This host's share of the spread in start_patience.
  Duration patience_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_CONFIGURATION_BOOK_H_
