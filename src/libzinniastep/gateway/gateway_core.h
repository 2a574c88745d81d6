#ifndef LIBZINNIASTEP_GATEWAY_GATEWAY_CORE_H_
#define LIBZINNIASTEP_GATEWAY_GATEWAY_CORE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
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
#include "libzinniastep/gateway/host_registration.h"
#include "libzinniastep/gateway/host_ring.h"
#include "libzinniastep/gateway/kept_records.h"
#include "libzinniastep/gateway/messages.h"
#include "libzinniastep/gateway/operator_records.h"
#include "libzinniastep/gateway/record_decoders.h"
#include "libzinniastep/gateway/record_exchange.h"
#include "libzinniastep/gateway/record_mirror.h"
#include "libzinniastep/gateway/record_watcher.h"
#include "libzinniastep/gateway/restored_rollouts.h"
#include "libzinniastep/gateway/rollout_coordinator.h"
#include "libzinniastep/gateway/store_follower.h"
#include "libzinniastep/gateway/store_reader_role.h"
#include "libzinniastep/gateway/view_builder.h"
#include "libzinniastep/membership/membership.h"

namespace zinniastep {

// The control state of a gateway host: the records from the store and from
// peers, the live hosts, and the progress of roll-outs. It uses no socket and
// no clock, and is not thread-safe.
class GatewayCore {
 public:
  GatewayCore(HostIdentity self,
              const GatewaySettings& settings,
              RecordDecoders decoders,
              std::uint64_t seed);

  // Each handler returns the actions to perform, in order.
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
  // Adds the evidence from this host's own answers.
  auto OnEvidence(Instant now, const std::vector<VersionRow>& rows)
      -> std::vector<GatewayAction>;
  // Sends a report about prompt parts that crash servers to peers.
  auto SpreadCrashReport(const CrashReport& report, CrashReportKind kind)
      -> std::vector<GatewayAction> {
    outbox_.SpreadCrashReport(report, kind);
    return outbox_.Take();
  }
  // Announces to the peers that this host leaves.
  auto BeginShutdown(Instant now) -> std::vector<GatewayAction>;

  [[nodiscard]] auto self() const -> const HostIdentity& { return self_; }

  // Returns whether this host has published a view that can serve requests.
  [[nodiscard]] auto IsReady() const -> bool { return published_; }

 private:
  // Updates all state that is derived from the records of a kind. `source` is
  // the host that sent them, or the store.
  auto ApplyRecords(Instant now, RecordKind kind, std::string_view source)
      -> void;
  [[nodiscard]] auto HasAllKinds() const -> bool;
  // Whether this host reads the store itself at present.
  [[nodiscard]] auto ReadsStore(Instant now) const -> bool;
  auto Register(Instant now) -> void;
  auto StartReads(Instant now) -> void;
  auto SendPeriodicDigest(Instant now) -> void;
  // Updates what follows from records of a peer, and tells other peers.
  auto OnExchanged(Instant now,
                   RecordKind kind,
                   const PeerRef& from,
                   const ExchangeResult& result) -> void;
  // Marks the view as outdated and sends a digest to peers after a change of a
  // roll-out's split.
  auto OnSplitChanged(Instant now) -> void;
  auto UpdateHosts() -> void;
  auto Publish(Instant now) -> void;
  auto TakeActions(Instant now) -> std::vector<GatewayAction>;

  auto Handle(Instant now, const PeerRef& from, const std::monostate& message)
      -> void;
  template <int kNumber>
  auto Handle(Instant /*now*/,
              const PeerRef& /*from*/,
              const RetiredMessage<kNumber>& /*message*/) -> void {}
  auto Handle(Instant now, const PeerRef& from, const HostDigest& digest)
      -> void;
  auto Handle(Instant now, const PeerRef& from, const RecordsRequest& request)
      -> void;
  auto Handle(Instant now, const PeerRef& from, const RecordSnapshot& snapshot)
      -> void;
  auto Handle(Instant now, const PeerRef& from, const RecordDelta& delta)
      -> void;
  auto Handle(Instant now,
              const PeerRef& from,
              const PackedRecordsRequest& request) -> void;
  auto Handle(Instant now, const PeerRef& from, const PackedRecords& packed)
      -> void;
  auto Handle(Instant now, const PeerRef& from, const OwnEvidence& evidence)
      -> void;
  auto Handle(Instant now, const PeerRef& from, const VersionFault& fault)
      -> void;
  auto Handle(Instant /*now*/,
              const PeerRef& /*from*/,
              const CrashReport& report) -> void {
    outbox_.Add(DeliverCrashReport{report});
  }

  [[nodiscard]] auto Digest(Instant now) const -> HostDigest;
  [[nodiscard]] auto IsInOwnRegion(const PeerRef& peer) const -> bool;

  HostIdentity self_;
  GatewaySettings settings_;
  Random random_;
  Membership membership_;
  Effects membership_effects_;
  GatewayOutbox outbox_;
  // All live hosts, and those to which callers are directed.
  HostRing ring_;
  HostRing preferred_ring_;
  std::vector<FrontAddress> fronts_;
  StoreReaderRole reader_role_;
  RecordMirror mirror_;
  BackendListing listing_;
  BackendRoster roster_;
  OperatorRecords operators_;
  KeptRecords kept_;
  StoreFollower store_;
  RecordExchange exchange_;
  RestoredRollouts restored_rollouts_;
  RolloutCoordinator rollouts_;
  HostRegistration registration_;
  ViewBuilder view_builder_;
  std::uint64_t hosts_revision_ = 0;
  std::size_t max_hosts_ = 0;
  bool dirty_ = true;
  bool published_ = false;
  Instant started_;
  bool is_started_ = false;
  Instant next_digest_;
  Instant next_digest_reply_;
  // When to rebuild the view, because its content also depends on time.
  std::optional<Instant> next_publish_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_GATEWAY_CORE_H_
