#include "libzinniastep/gateway/gateway_core.h"

#include <algorithm>
#include <utility>

#include "libzinniastep/base/overloaded.h"
#include "libzinniastep/gateway/cold_shares.h"
#include "libzinniastep/gateway/front_advice.h"
#include "libzinniastep/gateway/gateway_membership.h"

namespace zinniastep {

namespace {

// A lapsed entry is kept for the time that the platform needs to list live
// servers again, but shorter than the leaving time by the reserve.
constexpr Duration kLapsedEntryGrace = std::chrono::milliseconds(2000);
constexpr Duration kLeavingReserve = std::chrono::milliseconds(600);
// Hosts that the store lists for others to join through.
constexpr std::size_t kListedHosts = 16;
constexpr char kListedRankKey[] = "listed hosts";
// A standby reader collects changes of backend servers for this long per call;
// it receives most of them from the first reader.
constexpr Duration kStandbyBatchPause = std::chrono::milliseconds(1000);
// Peers to which a host sends a change in a larger fleet. Each of them sends it
// to as many: 2,000 hosts are reached in seven steps.
constexpr std::size_t kChangeFanOut = 4;
// A wider roll-out share is sent to more peers, since it takes effect soon, and
// to the most by the host that decides on it.
constexpr std::size_t kRolloutFanOut = 6;
constexpr std::size_t kDeciderFanOut = 16;
constexpr std::size_t kPeriodicFanOut = 2;
constexpr Duration kDigestPeriod = std::chrono::seconds(1);
// A host answers at most one older digest in this time: two hosts may each be
// behind the other in some kind.
constexpr Duration kDigestReplyPause = std::chrono::milliseconds(100);
// How long servers count as cold when a failure domain is taken back and the
// service has no setting for it.
constexpr Duration kUnknownColdStart = std::chrono::seconds(3);
// After this time a host serves even if it has not met its peers.
constexpr Duration kLongestJoin = std::chrono::milliseconds(1500);
constexpr Duration kJoinPoll = std::chrono::milliseconds(100);
// Names the store in log lines about where records came from.
constexpr char kFromStore[] = "store";

}  // namespace

GatewayCore::GatewayCore(HostIdentity self,
                         const GatewaySettings& settings,
                         RecordDecoders decoders,
                         std::uint64_t seed)
    : self_(std::move(self)),
      settings_(settings),
      random_(seed),
      membership_(self_, GatewayMembership(settings), random_.Next()),
      outbox_(membership_, random_.Next()),
      reader_role_(self_.host),
      listing_(decoders.backend),
      roster_(std::min(kLapsedEntryGrace,
                       settings.leaving_time > kLeavingReserve
                           ? settings.leaving_time - kLeavingReserve
                           : Duration(0))),
      operators_(std::move(decoders)),
      kept_([this](const StoredRecord& record) {
        return operators_.ConfigurationVersion(record);
      }),
      store_(settings, random_, mirror_, kept_, outbox_),
      exchange_(mirror_, kept_, outbox_),
      rollouts_(self_.host, ring_, outbox_),
      registration_(outbox_) {}

auto GatewayCore::OnTime(Instant now) -> std::vector<GatewayAction> {
  if (!is_started_) {
    is_started_ = true;
    started_ = now;
    reader_role_.OnStart(now);
  }
  membership_.OnTime(now, membership_effects_);
  UpdateHosts();
  Register(now);
  StartReads(now);
  if (roster_.Expire(now)) {
    dirty_ = true;
  }
  exchange_.SendRequests(now, ReadsStore(now));
  SendPeriodicDigest(now);
  if (rollouts_.OnTime(now)) {
    OnSplitChanged(now);
  }
  if (next_publish_.has_value() && now >= *next_publish_) {
    dirty_ = true;
  }
  return TakeActions(now);
}

auto GatewayCore::HasAllKinds() const -> bool {
  return std::ranges::all_of(kAllRecordKinds, [this](RecordKind kind) {
    return mirror_.IsKnown(kind);
  });
}

auto GatewayCore::ReadsStore(Instant now) const -> bool {
  return reader_role_.ShouldRead(now, HasAllKinds());
}

auto GatewayCore::Register(Instant now) -> void {
  if (!registration_.IsDue(now, store_.era()) || !reader_role_.IsSettled(now) ||
      ring_.RankOf(self_.host, kListedRankKey, kListedHosts) >= kListedHosts) {
    return;
  }
  registration_.OnWriteBegins(store_.era());
  outbox_.Add(RegisterHost{self_});
}

auto GatewayCore::StartReads(Instant now) -> void {
  if (!ReadsStore(now)) {
    return;
  }
  const bool may_watch = reader_role_.IsSettled(now);
  const bool for_others = may_watch && reader_role_.ReadsForOthers();
  if (for_others) {
    store_.ReadForOthers(reader_role_.order());
  } else {
    store_.ReadForSelf();
  }
  store_.SetPause(RecordKind::kBackendServers,
                  for_others && reader_role_.IsStandby() ? kStandbyBatchPause
                                                         : Duration(0));
  store_.StartReads(now, may_watch);
}

auto GatewayCore::OnRead(Instant now,
                         RecordKind kind,
                         const RecordReadResult& result)
    -> std::vector<GatewayAction> {
  const bool changed = store_.OnRead(now, kind, result);
  if (!std::holds_alternative<ReadFailed>(result)) {
    reader_role_.OnStoreAnswer(now);
  }
  if (changed) {
    exchange_.OnRead(kind);
    ApplyRecords(now, kind, kFromStore);
    outbox_.SendToRandomPeers(kChangeFanOut, Digest(now));
  }
  StartReads(now);
  return TakeActions(now);
}

auto GatewayCore::ApplyRecords(Instant now,
                               RecordKind kind,
                               std::string_view source) -> void {
  dirty_ = true;
  const StorePosition as_of = mirror_.Digest(kind).as_of;
  const bool is_restored =
      kept_.Update(now, kind, as_of, mirror_.records(kind), outbox_);
  switch (kind) {
    case RecordKind::kConfiguration:
      operators_.TakeConfiguration(kept_.Effective(kind), outbox_);
      break;
    case RecordKind::kBackendServers:
      if (is_restored) {
        roster_.OnStoreRestored(now);
      }
      listing_.Update(mirror_.records(kind), outbox_);
      roster_.Update(now, listing_.entries());
      break;
    case RecordKind::kRollouts:
      rollouts_.OnRecords(
          now, restored_rollouts_.Merge(
                   operators_.ReadRollouts(kept_.Shown(kind), outbox_),
                   operators_.DecodeRollouts(kept_.kept(kind))));
      break;
    case RecordKind::kEvacuations:
      for (const FailureDomainId& domain :
           operators_.TakeEvacuations(kept_.Effective(kind), outbox_)) {
        // Servers may have become cold while the domain was evacuated.
        roster_.MarkCold(domain, now + kUnknownColdStart);
      }
      break;
  }
  outbox_.Log("records_changed",
              {{"kind", std::to_string(static_cast<int>(kind))},
               {"as_of", as_of.text()},
               {"count", std::to_string(mirror_.records(kind).size())},
               {"source", std::string(source)}});
}

auto GatewayCore::OnRegistered(Instant now, WriteOutcome outcome)
    -> std::vector<GatewayAction> {
  registration_.OnWritten(now, outcome);
  return TakeActions(now);
}

auto GatewayCore::OnStatusWritten(Instant now,
                                  const std::string& rollout,
                                  WriteOutcome outcome)
    -> std::vector<GatewayAction> {
  rollouts_.OnStatusWritten(now, rollout, outcome);
  return TakeActions(now);
}

auto GatewayCore::OnHostList(Instant now, const HostListRead& list)
    -> std::vector<GatewayAction> {
  membership_.OnHostList(now, list);
  return TakeActions(now);
}

auto GatewayCore::OnPeerMessage(Instant now,
                                const PeerRef& from,
                                const PeerMessage& message)
    -> std::vector<GatewayAction> {
  std::visit(
      Overloaded{
          [&](const MembershipMessage& specific) {
            membership_.OnMessage(now, from, specific, membership_effects_);
            if (std::holds_alternative<SyncReply>(specific)) {
              exchange_.RequestMissingKinds(now);
              exchange_.SendRequests(now, ReadsStore(now));
            }
          },
          [&](const GatewayMessage& specific) {
            std::visit([&](const auto& inner) { Handle(now, from, inner); },
                       specific);
          },
          [](const auto&) {
            // Messages from hosts that are not gateways are ignored.
          }},
      message);
  UpdateHosts();
  return TakeActions(now);
}

auto GatewayCore::Handle(Instant /*now*/,
                         const PeerRef& /*from*/,
                         const std::monostate& /*message*/) -> void {}

auto GatewayCore::Handle(Instant now,
                         const PeerRef& from,
                         const HostDigest& digest) -> void {
  if (rollouts_.OnPeerProgress(now, digest.rollouts)) {
    dirty_ = true;
    outbox_.SendToRandomPeers(kRolloutFanOut, Digest(now));
  }
  reader_role_.OnDigest(now, digest);
  bool is_behind = false;
  for (const RecordKind kind : kAllRecordKinds) {
    const RecordDigest& state = digest.kinds.at(static_cast<std::size_t>(kind));
    store_.OnPeerEra(now, state.as_of.era);
    if (mirror_.IsNewer(kind, state)) {
      exchange_.OnNewerState(now, kind, from, IsInOwnRegion(from));
    }
    is_behind = is_behind || mirror_.IsOlder(kind, state);
  }
  if (is_behind && now >= next_digest_reply_) {
    next_digest_reply_ = now + kDigestReplyPause;
    outbox_.Send(from, Digest(now));
  }
  exchange_.SendRequests(now, ReadsStore(now));
}

auto GatewayCore::Handle(Instant /*now*/,
                         const PeerRef& from,
                         const RecordsRequest& request) -> void {
  exchange_.OnRequest(from, request);
}

auto GatewayCore::Handle(Instant /*now*/,
                         const PeerRef& from,
                         const PackedRecordsRequest& request) -> void {
  exchange_.OnRequest(from, request);
}

auto GatewayCore::Handle(Instant now,
                         const PeerRef& from,
                         const PackedRecords& packed) -> void {
  if (const auto answer = exchange_.Unpack(now, from, packed)) {
    std::visit([&](const auto& specific) { Handle(now, from, specific); },
               *answer);
  } else {
    exchange_.SendRequests(now, ReadsStore(now));
  }
}

auto GatewayCore::Handle(Instant now,
                         const PeerRef& from,
                         const RecordSnapshot& snapshot) -> void {
  const ExchangeResult result = exchange_.OnSnapshot(from, snapshot);
  store_.OnPeerEra(now, snapshot.as_of.era);
  OnExchanged(now, snapshot.kind, from, result);
}

auto GatewayCore::Handle(Instant now,
                         const PeerRef& from,
                         const RecordDelta& delta) -> void {
  OnExchanged(now, delta.kind, from, exchange_.OnDelta(now, from, delta));
}

auto GatewayCore::OnExchanged(Instant now,
                              RecordKind kind,
                              const PeerRef& from,
                              const ExchangeResult& result) -> void {
  if (result.changed) {
    ApplyRecords(now, kind, from.host.text());
  }
  if (!result.complete) {
    exchange_.SendRequests(now, ReadsStore(now));
  } else if (result.changed) {
    outbox_.SendToRandomPeers(kChangeFanOut, Digest(now));
  }
}

auto GatewayCore::Handle(Instant now,
                         const PeerRef& from,
                         const OwnEvidence& evidence) -> void {
  rollouts_.OnPeerEvidence(now, from.incarnation, evidence.rows);
}

auto GatewayCore::Handle(Instant /*now*/,
                         const PeerRef& from,
                         const VersionFault& fault) -> void {
  if (rollouts_.OnPeerFault(fault)) {
    dirty_ = true;
    outbox_.Log("version_fault_from_peer", {{"peer", from.host.text()},
                                            {"service", fault.service.text()},
                                            {"version", fault.version}});
  }
}

auto GatewayCore::OnEvidence(Instant now, const std::vector<VersionRow>& rows)
    -> std::vector<GatewayAction> {
  if (rollouts_.OnOwnEvidence(now, rows)) {
    OnSplitChanged(now);
  }
  return TakeActions(now);
}

auto GatewayCore::OnSplitChanged(Instant now) -> void {
  dirty_ = true;
  outbox_.SendToRandomPeers(kDeciderFanOut, Digest(now));
}

auto GatewayCore::BeginShutdown(Instant now) -> std::vector<GatewayAction> {
  membership_.Leave(now, membership_effects_);
  return TakeActions(now);
}

auto GatewayCore::UpdateHosts() -> void {
  if (membership_.revision() == hosts_revision_) {
    return;
  }
  hosts_revision_ = membership_.revision();
  const std::vector<HostIdentity>& live = membership_.live_hosts();
  max_hosts_ = std::max(max_hosts_, live.size());
  ring_ = HostRing(live);
  std::vector<HostIdentity> region_hosts;
  std::ranges::copy_if(
      live, std::back_inserter(region_hosts),
      [this](const HostIdentity& host) { return host.region == self_.region; });
  reader_role_.OnHostsChanged(live.size(), HostRing(region_hosts));
  const std::vector<HostIdentity> staying = StayingHosts(membership_);
  const std::vector<HostIdentity> preferred = PreferredFronts(staying);
  fronts_ = FrontsOf(staying, preferred);
  preferred_ring_ = HostRing(preferred);
  dirty_ = true;
  outbox_.Log("hosts_changed", {{"live", std::to_string(live.size())}});
}

auto GatewayCore::IsInOwnRegion(const PeerRef& peer) const -> bool {
  const HostIdentity* host = membership_.Find(peer.host);
  return host == nullptr || host->region == self_.region;
}

auto GatewayCore::SendPeriodicDigest(Instant now) -> void {
  if (now < next_digest_) {
    return;
  }
  next_digest_ = now + kDigestPeriod;
  outbox_.SendToRandomPeers(kPeriodicFanOut, Digest(now));
}

auto GatewayCore::Digest(Instant now) const -> HostDigest {
  HostDigest digest;
  for (const RecordKind kind : kAllRecordKinds) {
    digest.kinds.at(static_cast<std::size_t>(kind)) = mirror_.Digest(kind);
  }
  reader_role_.FillDigest(now, digest);
  digest.rollouts = rollouts_.progress(now);
  return digest;
}

auto GatewayCore::Publish(Instant now) -> void {
  dirty_ = false;
  next_publish_.reset();
  const bool all_known = HasAllKinds();
  auto view = std::make_shared<TrafficView>();
  view->sharing_hosts = std::max<std::size_t>(max_hosts_, 1);
  view->regions = settings_.regions;
  view->fronts = fronts_;
  // Peers report roll-out progress and how many hosts share a cold server.
  const bool met_peers =
      published_ || membership_.joined() || now - started_ >= kLongestJoin;
  if (operators_.policy() != nullptr && all_known && !met_peers) {
    next_publish_ = now + kJoinPoll;
  }
  if (operators_.policy() != nullptr && all_known && met_peers) {
    const std::vector<UsableBackend> usable = roster_.usable();
    view->policy = operators_.policy();
    view->splits = rollouts_.splits();
    view->backends = view_builder_.AcceptedBackends(now, usable, view->splits,
                                                    !published_, next_publish_);
    view->evacuated = operators_.evacuated();
    view->cold_rates = ColdRates(usable, *operators_.policy(),
                                 ColdShares(self_.host, preferred_ring_,
                                            max_hosts_, membership_.joined()));
    published_ = true;
  }
  outbox_.Add(PublishView{std::move(view)});
}

auto GatewayCore::TakeActions(Instant now) -> std::vector<GatewayAction> {
  for (Action& action : membership_effects_.TakeActions()) {
    std::visit(
        Overloaded{[this](SendToPeer& send) { outbox_.Add(std::move(send)); },
                   [this](LogEvent& event) { outbox_.Add(std::move(event)); },
                   [this](ReadHostList& read) { outbox_.Add(read); },
                   [](auto&) {
                     // Membership requests no other actions.
                   }},
        action);
  }
  // Membership's notices are for the aggregates of another node.
  (void)membership_effects_.TakeNotices();
  if (dirty_) {
    Publish(now);
  }
  return outbox_.Take();
}

}  // namespace zinniastep
