#ifndef LIBZINNIASTEP_GATEWAY_GATEWAY_CORE_H_
#define LIBZINNIASTEP_GATEWAY_GATEWAY_CORE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "libzinniastep/base/random.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/core/host_identity.h"
#include "libzinniastep/gateway/backend_listing.h"
#include "libzinniastep/gateway/backend_roster.h"
#include "libzinniastep/gateway/gateway_action.h"
#include "libzinniastep/gateway/gateway_outbox.h"
#include "libzinniastep/gateway/gateway_settings.h"
#include "libzinniastep/gateway/host_ring.h"
#include "libzinniastep/gateway/messages.h"
#include "libzinniastep/gateway/newer_elsewhere.h"
#include "libzinniastep/gateway/operator_records.h"
#include "libzinniastep/gateway/record_decoders.h"
#include "libzinniastep/gateway/record_mirror.h"
#include "libzinniastep/gateway/record_watcher.h"
#include "libzinniastep/gateway/rollout_desk.h"
#include "libzinniastep/gateway/store_duty.h"
#include "libzinniastep/gateway/view_builder.h"
#include "libzinniastep/membership/membership.h"

namespace zinniastep {

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
  auto Records(Instant now, RecordKind kind) -> void;
  [[nodiscard]] auto KnowsAllKinds() const -> bool;
  // Asks peers for the kinds of which this host knows nothing yet.
  auto AskForMissing() -> void;
  auto Register(Instant now) -> void;
  auto StartReads(Instant now) -> void;
  auto SpreadDigests(Instant now) -> void;
  auto AskForNewer(Instant now) -> void;
  // A roll-out's split changed: the view does, and peers hear of it.
  auto OnSplitChanged(Instant now) -> void;
  auto NoteHosts() -> void;
  auto Publish(Instant now) -> void;
  auto Take(Instant now) -> std::vector<GatewayAction>;

  auto Handle(Instant now, const PeerRef& from, const std::monostate& message)
      -> void;
  auto Handle(Instant now, const PeerRef& from, const HostDigest& digest)
      -> void;
  auto Handle(Instant now, const PeerRef& from, const RecordsRequest& request)
      -> void;
  auto Handle(Instant now, const PeerRef& from, const RecordSnapshot& snapshot)
      -> void;
  auto Handle(Instant now, const PeerRef& from, const RecordDelta& delta)
      -> void;
  auto Handle(Instant now, const PeerRef& from, const OwnEvidence& evidence)
      -> void;
  auto Handle(Instant now, const PeerRef& from, const VersionFault& fault)
      -> void;

  [[nodiscard]] auto Digest(Instant now) const -> HostDigest;
  [[nodiscard]] auto IsNear(const PeerRef& peer) const -> bool;

  HostIdentity self_;
  GatewaySettings settings_;
  Random random_;
  Membership membership_;
  Effects membership_effects_;
  GatewayOutbox outbox_;
  // All live hosts, and those that callers are sent to.
  HostRing ring_;
  HostRing preferred_ring_;
  std::vector<FrontAddress> fronts_;
  StoreDuty duty_;
  RecordMirror mirror_;
  std::vector<RecordWatcher> watchers_;
  NewerElsewhere newer_elsewhere_;
  BackendListing listing_;
  BackendRoster roster_;
  OperatorRecords operators_;
  RolloutDesk rollouts_;
  ViewBuilder view_builder_;
  std::uint64_t hosts_revision_ = 0;
  std::size_t most_hosts_ = 0;
  bool registered_ = false;
  bool registering_ = false;
  bool dirty_ = true;
  bool published_ = false;
  Instant started_;
  bool is_started_ = false;
  Instant next_register_;
  Instant next_digest_;
  // A view is built anew by then, as time alone changes it.
  std::optional<Instant> next_publish_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_GATEWAY_CORE_H_
