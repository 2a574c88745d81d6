#include "libzinniastep/gateway/gateway_core.h"

#include <algorithm>
#include <array>
#include <utility>

#include "libzinniastep/base/overloaded.h"
#include "libzinniastep/gateway/cold_shares.h"
#include "libzinniastep/gateway/front_advice.h"

namespace zinniastep {

namespace {

constexpr std::array<RecordKind, kRecordKinds> kAllKinds = {
    RecordKind::kConfiguration, RecordKind::kBackendServers,
    RecordKind::kRollouts, RecordKind::kEvacuations};

// A server that left silently is kept for what the platform needs to list the
// living again, and always less than when it must get nothing more.
constexpr Duration kLapsedEntryGrace = std::chrono::milliseconds(2000);
constexpr Duration kLeavingReserve = std::chrono::milliseconds(600);
// Servers that start or leave together are told of one by one; changes are
// collected for this part of the time in which a leaving one must get nothing
// more.
constexpr int kServersBatchPart = 10;
// Hosts that the store lists for others to join through.
constexpr std::size_t kListedHosts = 16;
constexpr char kListedName[] = "listed hosts";
// A host that stands by for another reader waits this long for more changes of
// backend servers with one call; it hears of most of them from the other.
constexpr Duration kStandbyBatchPause = std::chrono::milliseconds(1000);
// A watch of backend servers ends after this time without a change: its answer
// tells the fleet that the store is there.
constexpr Duration kServersWatchWait = std::chrono::seconds(2);
// Peers that a change is told to in a larger fleet, each of which tells as
// many: 2,000 hosts are reached in seven steps.
constexpr std::size_t kChangeFanOut = 4;
// A wider share is told to more, since it takes effect soon, and most by the
// host that decides on it.
constexpr std::size_t kRolloutFanOut = 6;
constexpr std::size_t kDeciderFanOut = 16;
constexpr std::size_t kPeriodicFanOut = 2;
constexpr Duration kDigestPeriod = std::chrono::seconds(1);
constexpr Duration kWriteRetry = std::chrono::milliseconds(500);
// How long servers stay cold when a failure domain is taken back and the
// service says nothing of it.
constexpr Duration kUnknownColdStart = std::chrono::seconds(3);
// A host serves without having met its peers after this time.
constexpr Duration kLongestJoin = std::chrono::milliseconds(1500);
constexpr Duration kJoinPoll = std::chrono::milliseconds(100);

auto SettingsForMembership(const GatewaySettings& settings)
    -> MembershipSettings {
  MembershipSettings membership;
  // Callers must not be sent to a lost host for more than some seconds: it is
  // found by one peer within half a second and then has one to contradict. A
  // host that is lost by mistake is back with its next message.
  membership.probe_period = std::chrono::milliseconds(400);
  membership.probe_timeout = std::chrono::milliseconds(200);
  membership.suspicion = std::chrono::milliseconds(1000);
  // Each read is a priced call; peers tell of new hosts much sooner.
  membership.host_list_period = std::chrono::seconds(60);
  membership.seeds = settings.seeds;
  return membership;
}

}  // namespace

GatewayCore::GatewayCore(HostIdentity self,
                         const GatewaySettings& settings,
                         RecordDecoders decoders,
                         std::uint64_t seed)
    : self_(std::move(self)),
      settings_(settings),
      random_(seed),
      membership_(self_, SettingsForMembership(settings), random_.Next()),
      outbox_(membership_, random_.Next()),
      duty_(self_.host),
      listing_(decoders.backend),
      roster_(std::min(kLapsedEntryGrace,
                       settings.leaving_time > kLeavingReserve
                           ? settings.leaving_time - kLeavingReserve
                           : Duration(0))),
      operators_(std::move(decoders)),
      rollouts_(self_.host, ring_, outbox_) {
  for (const RecordKind kind : kAllKinds) {
    WatcherLimits limits;
    if (kind == RecordKind::kBackendServers) {
      limits.batch_pause = settings.leaving_time / kServersBatchPart;
    }
    watchers_.emplace_back(kind, limits, random_.Next());
  }
}

auto GatewayCore::OnTime(Instant now) -> std::vector<GatewayAction> {
  if (!is_started_) {
    is_started_ = true;
    started_ = now;
    duty_.OnStart(now);
  }
  membership_.OnTime(now, membership_effects_);
  NoteHosts();
  Register(now);
  StartReads(now);
  if (roster_.Expire(now)) {
    dirty_ = true;
  }
  AskForNewer(now);
  SpreadDigests(now);
  if (rollouts_.OnTime(now)) {
    OnSplitChanged(now);
  }
  if (next_publish_.has_value() && now >= *next_publish_) {
    dirty_ = true;
  }
  return Take(now);
}

auto GatewayCore::KnowsAllKinds() const -> bool {
  return std::ranges::all_of(
      kAllKinds, [this](RecordKind kind) { return mirror_.IsKnown(kind); });
}

// The peers that a host joined through are asked by all that start; any other
// one has the records as well.
auto GatewayCore::AskForMissing() -> void {
  for (const RecordKind kind : kAllKinds) {
    if (!mirror_.IsKnown(kind)) {
      outbox_.SendToSome(1, RecordsRequest{kind, 0});
    }
  }
}

auto GatewayCore::Register(Instant now) -> void {
  if (registered_ || registering_ || now < next_register_ ||
      !duty_.IsSettled(now) ||
      ring_.RankOf(self_.host, kListedName, kListedHosts) >= kListedHosts) {
    return;
  }
  registering_ = true;
  outbox_.Do(RegisterHost{self_});
}

auto GatewayCore::StartReads(Instant now) -> void {
  if (!duty_.Reads(now, KnowsAllKinds())) {
    return;
  }
  const bool may_watch = duty_.IsSettled(now);
  if (may_watch && duty_.ReadsForOthers()) {
    watchers_.at(static_cast<std::size_t>(RecordKind::kBackendServers))
        .SetPace(duty_.StandsBy() ? kStandbyBatchPause : Duration(0),
                 kServersWatchWait);
  }
  for (RecordWatcher& watcher : watchers_) {
    if (auto read = watcher.NextRead(now, may_watch)) {
      std::visit([this](auto& specific) { outbox_.Do(specific); }, *read);
    }
  }
}

auto GatewayCore::OnRead(Instant now,
                         RecordKind kind,
                         const RecordReadResult& result)
    -> std::vector<GatewayAction> {
  RecordWatcher& watcher = watchers_.at(static_cast<std::size_t>(kind));
  const std::uint32_t failures_before = watcher.failures_in_row();
  bool changed = false;
  if (const auto* changes = std::get_if<RecordChanges>(&result)) {
    changed = mirror_.Apply(kind, changes->as_of, changes->changes);
  }
  if (const auto whole = watcher.OnResult(now, result)) {
    changed = mirror_.Replace(*whole) || changed;
  }
  if (watcher.failures_in_row() == 1 && failures_before == 0) {
    outbox_.Log("store_lost",
                {{"kind", std::to_string(static_cast<int>(kind))}});
  } else if (watcher.failures_in_row() == 0 && failures_before > 0) {
    outbox_.Log("store_regained",
                {{"kind", std::to_string(static_cast<int>(kind))},
                 {"failures", std::to_string(failures_before)}});
  }
  if (!std::holds_alternative<ReadFailed>(result)) {
    duty_.OnOwnWord(now);
  }
  if (changed) {
    Records(now, kind);
    outbox_.SendToSome(kChangeFanOut, Digest(now));
  }
  StartReads(now);
  return Take(now);
}

auto GatewayCore::Records(Instant now, RecordKind kind) -> void {
  newer_elsewhere_.OnReceived(kind);
  dirty_ = true;
  switch (kind) {
    case RecordKind::kConfiguration:
      operators_.TakeConfiguration(mirror_.records(kind), outbox_);
      break;
    case RecordKind::kBackendServers:
      listing_.Update(mirror_.records(kind), outbox_);
      roster_.Update(now, listing_.entries());
      break;
    case RecordKind::kRollouts:
      rollouts_.OnRecords(
          now, operators_.ReadRollouts(mirror_.records(kind), outbox_));
      break;
    case RecordKind::kEvacuations:
      for (const FailureDomainId& domain :
           operators_.TakeEvacuations(mirror_.records(kind), outbox_)) {
        // Servers may have turned cold while the domain was out.
        roster_.MarkCold(domain, now + kUnknownColdStart);
      }
      break;
  }
  outbox_.Log("records_changed",
              {{"kind", std::to_string(static_cast<int>(kind))},
               {"as_of", std::to_string(mirror_.Digest(kind).as_of)},
               {"count", std::to_string(mirror_.records(kind).size())}});
}

auto GatewayCore::OnRegistered(Instant now, WriteOutcome outcome)
    -> std::vector<GatewayAction> {
  registering_ = false;
  registered_ = outcome == WriteOutcome::kDone;
  next_register_ = now + kWriteRetry * 2;
  return Take(now);
}

auto GatewayCore::OnStatusWritten(Instant now,
                                  const std::string& rollout,
                                  WriteOutcome outcome)
    -> std::vector<GatewayAction> {
  rollouts_.OnStatusWritten(now, rollout, outcome);
  return Take(now);
}

auto GatewayCore::OnHostList(Instant now, const HostListRead& list)
    -> std::vector<GatewayAction> {
  membership_.OnHostList(now, list);
  return Take(now);
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
              AskForMissing();
            }
          },
          [&](const GatewayMessage& specific) {
            std::visit([&](const auto& inner) { Handle(now, from, inner); },
                       specific);
          },
          [](const auto&) {
            // Messages of hosts that are no gateways.
          }},
      message);
  NoteHosts();
  return Take(now);
}

auto GatewayCore::Handle(Instant /*now*/,
                         const PeerRef& /*from*/,
                         const std::monostate& /*message*/) -> void {}

auto GatewayCore::Handle(Instant now,
                         const PeerRef& from,
                         const HostDigest& digest) -> void {
  if (rollouts_.OnPeerProgress(now, digest.rollouts)) {
    dirty_ = true;
    outbox_.SendToSome(kRolloutFanOut, Digest(now));
  }
  duty_.OnDigest(now, digest);
  for (const RecordKind kind : kAllKinds) {
    if (mirror_.IsNewer(kind,
                        digest.kinds.at(static_cast<std::size_t>(kind)))) {
      newer_elsewhere_.OnTold(now, kind, from, IsNear(from));
    }
  }
  AskForNewer(now);
}

auto GatewayCore::Handle(Instant /*now*/,
                         const PeerRef& from,
                         const RecordsRequest& request) -> void {
  if (static_cast<std::size_t>(request.kind) >= kRecordKinds ||
      !mirror_.IsKnown(request.kind) ||
      mirror_.Digest(request.kind).as_of <= request.as_of) {
    return;
  }
  if (auto delta = mirror_.ChangesSince(request.kind, request.as_of)) {
    outbox_.Send(from, *std::move(delta));
  } else {
    outbox_.Send(from, mirror_.Snapshot(request.kind));
  }
}

auto GatewayCore::Handle(Instant now,
                         const PeerRef& from,
                         const RecordSnapshot& snapshot) -> void {
  if (static_cast<std::size_t>(snapshot.kind) >= kRecordKinds) {
    return;
  }
  if (mirror_.IsKnown(snapshot.kind) &&
      snapshot.as_of < mirror_.Digest(snapshot.kind).as_of) {
    // A peer that is behind; what is newer is still to come.
    return;
  }
  const bool changed = mirror_.Replace(snapshot);
  newer_elsewhere_.OnReceived(snapshot.kind);
  if (changed) {
    outbox_.Log("records_from_peer",
                {{"peer", from.host.text()},
                 {"kind", std::to_string(static_cast<int>(snapshot.kind))},
                 {"as_of", std::to_string(snapshot.as_of)}});
    Records(now, snapshot.kind);
    outbox_.SendToSome(kChangeFanOut, Digest(now));
  }
}

auto GatewayCore::Handle(Instant now,
                         const PeerRef& from,
                         const RecordDelta& delta) -> void {
  if (static_cast<std::size_t>(delta.kind) >= kRecordKinds) {
    return;
  }
  const DeltaOutcome outcome = mirror_.Apply(delta);
  newer_elsewhere_.OnReceived(delta.kind);
  if (outcome == DeltaOutcome::kKnown) {
    return;
  }
  outbox_.Log("changes_from_peer",
              {{"peer", from.host.text()},
               {"kind", std::to_string(static_cast<int>(delta.kind))},
               {"from", std::to_string(delta.from)},
               {"as_of", std::to_string(delta.as_of)},
               {"records", std::to_string(delta.records.size())},
               {"removed", std::to_string(delta.removed.size())},
               {"fits", outcome == DeltaOutcome::kChanged ? "yes" : "no"}});
  if (mirror_.IsKnown(delta.kind)) {
    Records(now, delta.kind);
  }
  if (outcome == DeltaOutcome::kUnfit) {
    newer_elsewhere_.OnUnfit(now, delta.kind, from);
    AskForNewer(now);
    return;
  }
  outbox_.SendToSome(kChangeFanOut, Digest(now));
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
  return Take(now);
}

auto GatewayCore::OnSplitChanged(Instant now) -> void {
  dirty_ = true;
  outbox_.SendToSome(kDeciderFanOut, Digest(now));
}

auto GatewayCore::BeginShutdown(Instant now) -> std::vector<GatewayAction> {
  membership_.Leave(now, membership_effects_);
  return Take(now);
}

auto GatewayCore::NoteHosts() -> void {
  if (membership_.revision() == hosts_revision_) {
    return;
  }
  hosts_revision_ = membership_.revision();
  const std::vector<HostIdentity>& live = membership_.live_hosts();
  most_hosts_ = std::max(most_hosts_, live.size());
  ring_ = HostRing(live);
  std::vector<HostIdentity> near;
  std::ranges::copy_if(
      live, std::back_inserter(near),
      [this](const HostIdentity& host) { return host.region == self_.region; });
  duty_.OnHosts(live.size(), HostRing(near));
  const std::vector<HostIdentity> staying = StayingHosts(membership_);
  const std::vector<HostIdentity> preferred = PreferredFronts(staying);
  fronts_ = FrontsOf(staying, preferred);
  preferred_ring_ = HostRing(preferred);
  dirty_ = true;
  outbox_.Log("hosts_changed", {{"live", std::to_string(live.size())}});
}

auto GatewayCore::IsNear(const PeerRef& peer) const -> bool {
  const HostIdentity* host = membership_.Find(peer.host);
  return host == nullptr || host->region == self_.region;
}

auto GatewayCore::AskForNewer(Instant now) -> void {
  for (const NewerElsewhere::Question& question :
       newer_elsewhere_.Due(now, duty_.Reads(now, KnowsAllKinds()))) {
    const std::uint64_t as_of =
        question.whole ? 0 : mirror_.Digest(question.kind).as_of;
    const RecordsRequest request{question.kind, as_of};
    outbox_.Send(question.peer, request);
    if (question.unanswered) {
      // It may be gone, and nobody tells again of a state that all have.
      outbox_.SendToSome(1, request);
    }
  }
}

auto GatewayCore::SpreadDigests(Instant now) -> void {
  if (now < next_digest_) {
    return;
  }
  next_digest_ = now + kDigestPeriod;
  outbox_.SendToSome(kPeriodicFanOut, Digest(now));
}

auto GatewayCore::Digest(Instant now) const -> HostDigest {
  HostDigest digest;
  for (const RecordKind kind : kAllKinds) {
    digest.kinds.at(static_cast<std::size_t>(kind)) = mirror_.Digest(kind);
  }
  duty_.Tell(now, digest);
  digest.rollouts = rollouts_.progress(now);
  return digest;
}

auto GatewayCore::Publish(Instant now) -> void {
  dirty_ = false;
  next_publish_.reset();
  const bool all_known = KnowsAllKinds();
  auto view = std::make_shared<TrafficView>();
  view->sharing_hosts = std::max<std::size_t>(most_hosts_, 1);
  view->regions = settings_.regions;
  view->fronts = fronts_;
  // Peers tell how far roll-outs are and how many share a cold server.
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
                                            most_hosts_, membership_.joined()));
    published_ = true;
  }
  outbox_.Do(PublishView{std::move(view)});
}

auto GatewayCore::Take(Instant now) -> std::vector<GatewayAction> {
  for (Action& action : membership_effects_.TakeActions()) {
    std::visit(
        Overloaded{[this](SendToPeer& send) { outbox_.Do(std::move(send)); },
                   [this](LogEvent& event) { outbox_.Do(std::move(event)); },
                   [this](ReadHostList& read) { outbox_.Do(read); },
                   [](auto&) {
                     // Membership asks for nothing else.
                   }},
        action);
  }
  // Its notices are for the aggregates of another node.
  (void)membership_effects_.TakeNotices();
  if (dirty_) {
    Publish(now);
  }
  return outbox_.Take();
}

}  // namespace zinniastep
