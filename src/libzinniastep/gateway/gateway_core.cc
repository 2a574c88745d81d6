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
// A fleet with this many hosts or fewer reads the store with all of them.
constexpr std::size_t kSmallFleet = 16;
// Hosts of each region of a larger fleet that read the store for all, so that
// calls do not grow with it. The second one stands by: it hears of most changes
// from the first, and waits longer for more of them with one call.
constexpr std::size_t kReadersInRegion = 2;
constexpr Duration kStandbyBatchPause = std::chrono::milliseconds(1000);
constexpr char kReadersName[] = "store readers";
// Hosts that the store lists for others to join through.
constexpr std::size_t kListedHosts = 16;
constexpr char kListedName[] = "listed hosts";
// A host lists itself, and waits for changes at the store, this long after its
// start: by then it knows how many hosts there are, and whether it is one of
// those that do so for all.
constexpr Duration kSettleTime = std::chrono::milliseconds(1500);
// A host that starts asks its peers first; when none has brought all records by
// then, it reads the store. Peers answer in some round trips.
constexpr Duration kPeersFirst = std::chrono::milliseconds(250);
// A watch of backend servers ends after this time without a change: its answer
// tells the fleet that the store is there.
constexpr Duration kServersWatchWait = std::chrono::seconds(2);
// Without word of a peer that heard from the store for this long, the next host
// in rank reads it itself, and one more after each step: readers may all be
// turned away, or cut off. It is longer than a reader's watch and the way of
// its answer.
constexpr Duration kReaderPatience = std::chrono::seconds(3);
constexpr Duration kTakeOverStep = std::chrono::milliseconds(150);
constexpr std::size_t kTakeOverRanks = 40;
// Peers that a change is told to in a larger fleet, each of which tells as
// many: 2,000 hosts are reached in seven steps.
constexpr std::size_t kChangeFanOut = 4;
// A wider share is told to more, since it takes effect soon.
constexpr std::size_t kRolloutFanOut = 6;
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
      decoders_(std::move(decoders)),
      random_(seed),
      membership_(self_, SettingsForMembership(settings), random_.Next()),
      outbox_(membership_, random_.Next()),
      listing_(decoders_.backend),
      roster_(std::min(kLapsedEntryGrace,
                       settings.leaving_time > kLeavingReserve
                           ? settings.leaving_time - kLeavingReserve
                           : Duration(0))),
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
    peers_word_.at = now;
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

auto GatewayCore::ReadsStore(Instant now) const -> bool {
  if (!KnowsAllKinds()) {
    return now - started_ >= kPeersFirst;
  }
  if (now - started_ < kSettleTime) {
    return false;
  }
  if (ring_.size() <= kSmallFleet) {
    return true;
  }
  const std::size_t rank = ReaderRank();
  if (rank < kReadersInRegion) {
    return true;
  }
  return now - peers_word_.at >
         kReaderPatience +
             kTakeOverStep * static_cast<std::int64_t>(rank - kReadersInRegion);
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

auto GatewayCore::ReaderRank() const -> std::size_t {
  return region_ring_.RankOf(self_.host, kReadersName, kTakeOverRanks);
}

auto GatewayCore::Register(Instant now) -> void {
  if (registered_ || registering_ || now < next_register_ ||
      now - started_ < kSettleTime ||
      ring_.RankOf(self_.host, kListedName, kListedHosts) >= kListedHosts) {
    return;
  }
  registering_ = true;
  outbox_.Do(RegisterHost{self_});
}

auto GatewayCore::StartReads(Instant now) -> void {
  if (!ReadsStore(now)) {
    return;
  }
  const bool may_watch = now - started_ >= kSettleTime;
  if (may_watch && ring_.size() > kSmallFleet) {
    watchers_.at(static_cast<std::size_t>(RecordKind::kBackendServers))
        .SetPace(ReaderRank() > 0 ? kStandbyBatchPause : Duration(0),
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
    own_word_ = now;
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
      ReadPolicy();
      break;
    case RecordKind::kBackendServers:
      listing_.Update(mirror_.records(kind), outbox_);
      roster_.Update(now, listing_.entries());
      break;
    case RecordKind::kRollouts:
      ReadRollouts(now);
      break;
    case RecordKind::kEvacuations:
      ReadEvacuations(now);
      break;
  }
  outbox_.Log("records_changed",
              {{"kind", std::to_string(static_cast<int>(kind))},
               {"as_of", std::to_string(mirror_.Digest(kind).as_of)},
               {"count", std::to_string(mirror_.records(kind).size())}});
}

auto GatewayCore::ReadPolicy() -> void {
  for (const auto& [name, record] :
       mirror_.records(RecordKind::kConfiguration)) {
    auto policy = decoders_.policy(record);
    if (!policy.ok()) {
      outbox_.Log("configuration_unreadable",
                  {{"name", name},
                   {"revision", std::to_string(record.revision)},
                   {"reason", std::string(policy.status().message())}});
      continue;
    }
    // An older version never replaces a newer one, whoever brings it.
    if (policy_ == nullptr || (*policy)->version() > policy_->version()) {
      policy_ = *std::move(policy);
      outbox_.Log("configuration_in_force",
                  {{"version", std::to_string(policy_->version())},
                   {"revision", std::to_string(record.revision)}});
    }
  }
}

auto GatewayCore::ReadRollouts(Instant now) -> void {
  std::vector<RolloutRecord> records;
  for (const auto& [name, record] : mirror_.records(RecordKind::kRollouts)) {
    auto rollout = decoders_.rollout(record);
    if (rollout.ok()) {
      records.push_back(*std::move(rollout));
      continue;
    }
    outbox_.Log(
        "rollout_unreadable",
        {{"name", name}, {"reason", std::string(rollout.status().message())}});
  }
  rollouts_.OnRecords(now, records);
}

auto GatewayCore::ReadEvacuations(Instant now) -> void {
  std::set<FailureDomainId> evacuated;
  for (const auto& [name, record] : mirror_.records(RecordKind::kEvacuations)) {
    auto domain = decoders_.evacuation(record);
    if (domain.ok()) {
      evacuated.insert(*std::move(domain));
    }
  }
  for (const FailureDomainId& domain : evacuated_) {
    if (!evacuated.contains(domain)) {
      // Servers may have turned cold while the domain was out.
      roster_.MarkCold(domain, now + kUnknownColdStart);
      outbox_.Log("domain_returned", {{"domain", domain.text()}});
    }
  }
  for (const FailureDomainId& domain : evacuated) {
    if (!evacuated_.contains(domain)) {
      outbox_.Log("domain_taken_out", {{"domain", domain.text()}});
    }
  }
  evacuated_ = std::move(evacuated);
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
  if (digest.store_reader != self_.host && !digest.store_reader.empty()) {
    const Instant heard = now - std::chrono::milliseconds(digest.store_age_ms);
    if (heard > peers_word_.at) {
      peers_word_ = {digest.store_reader, heard};
    }
  }
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
      !mirror_.IsKnown(request.kind)) {
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
  outbox_.SendToSome(kSmallFleet, Digest(now));
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
  region_ring_ = HostRing(near);
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
       newer_elsewhere_.Due(now, ReadsStore(now))) {
    const std::uint64_t as_of =
        question.whole ? 0 : mirror_.Digest(question.kind).as_of;
    outbox_.Send(question.peer, RecordsRequest{question.kind, as_of});
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
  const bool own_is_newer = own_word_ >= peers_word_.at;
  const Instant heard = own_is_newer ? own_word_ : peers_word_.at;
  digest.store_reader = own_is_newer ? self_.host : peers_word_.reader;
  digest.store_age_ms = static_cast<std::uint64_t>(std::max<std::int64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now - heard)
          .count(),
      0));
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
  if (policy_ != nullptr && all_known && !met_peers) {
    next_publish_ = now + kJoinPoll;
  }
  if (policy_ != nullptr && all_known && met_peers) {
    const std::vector<UsableBackend> usable = roster_.usable();
    view->policy = policy_;
    view->splits = rollouts_.splits();
    view->backends = view_builder_.AcceptedBackends(now, usable, view->splits,
                                                    !published_, next_publish_);
    view->evacuated = evacuated_;
    view->cold_rates = ColdRates(usable, *policy_,
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
