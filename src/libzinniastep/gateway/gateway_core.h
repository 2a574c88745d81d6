#ifndef LIBZINNIASTEP_GATEWAY_GATEWAY_CORE_H_
#define LIBZINNIASTEP_GATEWAY_GATEWAY_CORE_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "libzinniastep/base/random.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/core/action.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/core/host_identity.h"
#include "libzinniastep/gateway/backend_roster.h"
#include "libzinniastep/gateway/gateway_settings.h"
#include "libzinniastep/gateway/messages.h"
#include "libzinniastep/gateway/record_decoders.h"
#include "libzinniastep/gateway/record_mirror.h"
#include "libzinniastep/gateway/record_watcher.h"
#include "libzinniastep/gateway/rollout_guard.h"
#include "libzinniastep/gateway/version_evidence.h"
#include "libzinniastep/membership/membership.h"

namespace zinniastep {

// Write this host's addresses into the store, for others to join through.
struct RegisterHost {
  HostIdentity identity;
};

// A newer view is there for the traffic thread.
struct PublishView {
  std::shared_ptr<const TrafficView> view;
};

using GatewayAction = std::variant<ListRecords,
                                   WatchRecords,
                                   RolloutStatusWrite,
                                   RegisterHost,
                                   ReadHostList,
                                   PublishView,
                                   SendToPeer,
                                   LogEvent>;

// How a write to the store ended.
enum class WriteOutcome : std::uint8_t { kDone, kConflict, kRefused, kSilent };

// The control state of a gateway host: what the store and the peers say, which
// hosts live, and how far roll-outs are. It touches no socket and no clock;
// one thread uses it.
class GatewayCore {
 public:
  GatewayCore(HostIdentity self,
              const GatewaySettings& settings,
              RecordDecoders decoders,
              std::uint64_t seed);

  // Each returns what is to be done, in order.
  auto OnTime(Instant now) -> std::vector<GatewayAction>;
  auto OnRead(Instant now, RecordKind kind, const RecordReadResult& result)
      -> std::vector<GatewayAction>;
  auto OnRegistered(Instant now, WriteOutcome outcome)
      -> std::vector<GatewayAction>;
  auto OnStatusWritten(Instant now,
                       const std::string& rollout,
                       WriteOutcome outcome) -> std::vector<GatewayAction>;
  auto OnHostList(Instant now, const HostListRead& list)
      -> std::vector<GatewayAction>;
  auto OnPeerMessage(Instant now,
                     const PeerRef& from,
                     const PeerMessage& message) -> std::vector<GatewayAction>;
  // Adds what this host's own answers have shown.
  auto OnEvidence(Instant now, const std::vector<VersionRow>& rows)
      -> std::vector<GatewayAction>;
  // Tells the peers that this host leaves.
  auto BeginShutdown(Instant now) -> std::vector<GatewayAction>;

  [[nodiscard]] auto self() const -> const HostIdentity& { return self_; }

  // Whether all that callers' requests depend on is known.
  [[nodiscard]] auto IsReady() const -> bool { return published_; }

 private:
  struct NewerElsewhere {
    PeerRef peer;
    Instant since;
    bool asked = false;
  };
  // A host that the store answered, and when.
  struct StoreWord {
    HostId reader;
    Instant at;
  };
  struct PendingWrite {
    Instant due_since;
    Instant not_before;
    bool under_way = false;
  };

  auto Records(Instant now, RecordKind kind) -> void;
  auto ReadPolicy() -> void;
  auto ReadBackends(Instant now) -> void;
  auto ReadRollouts(Instant now) -> void;
  auto ReadEvacuations(Instant now) -> void;

  // Whether this host reads the store, or hears of it from peers that do.
  [[nodiscard]] auto ReadsStore(Instant now) const -> bool;
  auto StartReads(Instant now) -> void;
  auto SpreadDigests(Instant now) -> void;
  auto AskForNewer(Instant now) -> void;
  auto ShareEvidence(Instant now) -> void;
  auto JudgeRollouts(Instant now) -> void;
  auto WriteStatuses(Instant now) -> void;
  auto NoteHosts(Instant now) -> void;
  auto Publish(Instant now) -> void;
  auto SendTo(const HostIdentity& peer, GatewayMessage message) -> void;
  auto SendToSome(std::size_t most, const GatewayMessage& message) -> void;
  auto Take(Instant now) -> std::vector<GatewayAction>;

  auto Handle(Instant now, const PeerRef& from, const std::monostate& message)
      -> void;
  auto Handle(Instant now, const PeerRef& from, const HostDigest& digest)
      -> void;
  auto Handle(Instant now, const PeerRef& from, const RecordsRequest& request)
      -> void;
  auto Handle(Instant now, const PeerRef& from, const RecordSnapshot& snapshot)
      -> void;
  auto Handle(Instant now, const PeerRef& from, const OwnEvidence& evidence)
      -> void;
  auto Handle(Instant now, const PeerRef& from, const VersionFault& fault)
      -> void;

  [[nodiscard]] auto Digest(Instant now) const -> HostDigest;
  [[nodiscard]] auto AllEvidence() const -> VersionEvidence;
  // This host's place among those that may speak for a name; 0 speaks first.
  [[nodiscard]] auto RankFor(const std::string& name) const -> std::size_t;
  [[nodiscard]] auto ColdRates() const -> std::map<BackendServerId, double>;
  [[nodiscard]] auto Fronts() const -> std::vector<FrontAddress>;
  // Backend servers of versions that no order covers yet are left out.
  [[nodiscard]] auto AcceptedBackends(Instant now)
      -> std::vector<UsableBackend>;

  HostIdentity self_;
  GatewaySettings settings_;
  RecordDecoders decoders_;
  Random random_;
  Membership membership_;
  Effects membership_effects_;
  RecordMirror mirror_;
  std::vector<RecordWatcher> watchers_;
  BackendRoster roster_;
  RolloutGuard rollouts_;
  std::shared_ptr<const TrafficPolicy> policy_;
  std::set<FailureDomainId> evacuated_;
  VersionEvidence own_evidence_;
  std::map<Incarnation, std::pair<Instant, std::vector<VersionRow>>>
      peer_evidence_;
  std::map<RecordKind, NewerElsewhere> newer_elsewhere_;
  std::map<std::string, PendingWrite> pending_writes_;
  // When each version of a service was first listed.
  std::map<std::pair<ServiceId, std::string>, Instant> version_seen_;
  std::set<std::string> unreadable_;
  // The backend servers as last listed, to log what changes.
  std::map<BackendServerId, BackendEntry> listed_;
  std::vector<GatewayAction> actions_;
  std::uint64_t hosts_revision_ = 0;
  std::size_t most_hosts_ = 0;
  bool registered_ = false;
  bool registering_ = false;
  bool dirty_ = true;
  bool published_ = false;
  bool evidence_changed_ = false;
  bool leaving_ = false;
  std::optional<Instant> started_;
  // When the store last answered this host, and another one by what peers say.
  Instant own_word_;
  StoreWord peers_word_;
  Instant next_register_;
  Instant next_digest_;
  Instant next_evidence_;
  // A view is built anew by then, as time alone changes it.
  std::optional<Instant> next_publish_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_GATEWAY_CORE_H_
