#include "libzinniastep/gateway/gateway_core.h"

#include <algorithm>
#include <utility>

#include "libzinniastep/base/hash.h"
#include "libzinniastep/base/overloaded.h"

namespace zinniastep {

namespace {

constexpr std::array<RecordKind, kRecordKinds> kAllKinds = {
    RecordKind::kConfiguration, RecordKind::kBackendServers,
    RecordKind::kRollouts, RecordKind::kEvacuations};

// A server that left silently is kept for what the platform needs to list the
// living again, and always less than when it must get nothing more.
constexpr Duration kLapsedEntryGrace = std::chrono::milliseconds(2000);
constexpr Duration kLeavingReserve = std::chrono::milliseconds(600);
// Servers that start or leave together are told of one by one; a tenth of the
// shortest time in which a leaving one must get nothing more.
constexpr Duration kServersBatchPause = std::chrono::milliseconds(250);
// A fleet with this many hosts or fewer tells all peers at once.
constexpr std::size_t kSmallFleet = 16;
// Hosts of a larger fleet that read the store for all: any two may be lost
// together with a failure domain, and calls do not grow with the fleet.
constexpr std::size_t kReaders = 5;
constexpr char kReadersName[] = "store readers";
// Without word of a peer that heard from the store for this long, a host reads
// it itself: longer than a reader's watch and the way of its answer.
constexpr Duration kLongestWithoutWord = std::chrono::seconds(9);
// Peers that a change is told to in a larger fleet, each of which tells as
// many: 2,000 hosts are reached in seven steps.
constexpr std::size_t kChangeFanOut = 4;
// A wider share is told to more, since it takes effect soon.
constexpr std::size_t kRolloutFanOut = 6;
constexpr std::size_t kPeriodicFanOut = 2;
constexpr Duration kDigestPeriod = std::chrono::seconds(1);
// The store's own watch usually tells of a change by then.
constexpr Duration kWatchHeadStart = std::chrono::milliseconds(200);
constexpr Duration kEvidencePeriod = std::chrono::milliseconds(400);
// Hosts that may speak for a roll-out when those before them do not.
constexpr std::size_t kSpeakers = 3;
constexpr Duration kSpeakerPatience = std::chrono::milliseconds(1200);
constexpr Duration kWriteRetry = std::chrono::milliseconds(500);
// Evidence of a host that is silent for this long is dropped.
constexpr Duration kEvidenceLifetime = std::chrono::minutes(2);
// Part of a cold server's limit that all hosts use together; the rest is for
// hosts that disagree on how many they are.
constexpr double kColdShareUsed = 0.6;
// A host that has not met its peers yet takes this much of a cold server.
constexpr double kColdRateAlone = 0.4;
// With less than this a second each, few hosts share a cold server's limit.
constexpr double kLeastColdRate = 0.5;
constexpr std::size_t kMostColdSharers = 4;
// How long servers stay cold when a failure domain is taken back and the
// service says nothing of it.
constexpr Duration kUnknownColdStart = std::chrono::seconds(3);
// A new version's servers may be listed before the order that brings them.
constexpr Duration kNewVersionPause = std::chrono::seconds(3);
// A host serves without having met its peers after this time.
constexpr Duration kLongestJoin = std::chrono::milliseconds(1500);
constexpr Duration kJoinPoll = std::chrono::milliseconds(100);
// Time alone changes a view (entries that lapse, pauses that end).
constexpr Duration kTimedPublish = std::chrono::milliseconds(500);

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
      roster_(std::min(kLapsedEntryGrace,
                       settings.leaving_time > kLeavingReserve
                           ? settings.leaving_time - kLeavingReserve
                           : Duration(0))) {
  for (const RecordKind kind : kAllKinds) {
    WatcherLimits limits;
    if (kind == RecordKind::kBackendServers) {
      limits.batch_pause = kServersBatchPause;
    }
    watchers_.emplace_back(kind, limits, random_.Next());
  }
}

auto GatewayCore::OnTime(Instant now) -> std::vector<GatewayAction> {
  if (!started_.has_value()) {
    started_ = now;
  }
  membership_.OnTime(now, membership_effects_);
  NoteHosts(now);
  if (!registered_ && !registering_ && now >= next_register_) {
    registering_ = true;
    actions_.emplace_back(RegisterHost{self_});
  }
  StartReads(now);
  if (roster_.Expire(now)) {
    dirty_ = true;
  }
  AskForNewer(now);
  SpreadDigests(now);
  ShareEvidence(now);
  JudgeRollouts(now);
  WriteStatuses(now);
  if (next_publish_.has_value() && now >= *next_publish_) {
    dirty_ = true;
  }
  return Take(now);
}

auto GatewayCore::ReadsStore(Instant now) const -> bool {
  // Without a view, or without word from peers who read, each host does.
  return !published_ || membership_.live_hosts().size() <= kSmallFleet ||
         RankFor(kReadersName) < kReaders ||
         now - peers_word_.at > kLongestWithoutWord;
}

auto GatewayCore::StartReads(Instant now) -> void {
  if (!ReadsStore(now)) {
    return;
  }
  for (RecordWatcher& watcher : watchers_) {
    if (auto read = watcher.NextRead(now)) {
      std::visit([this](auto& specific) { actions_.emplace_back(specific); },
                 *read);
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
    actions_.emplace_back(LogEvent{
        "store_lost", {{"kind", std::to_string(static_cast<int>(kind))}}});
  } else if (watcher.failures_in_row() == 0 && failures_before > 0) {
    actions_.emplace_back(
        LogEvent{"store_regained",
                 {{"kind", std::to_string(static_cast<int>(kind))},
                  {"failures", std::to_string(failures_before)}}});
  }
  if (!std::holds_alternative<ReadFailed>(result)) {
    own_word_ = now;
  }
  if (changed) {
    Records(now, kind);
    SendToSome(kChangeFanOut, Digest(now));
  }
  StartReads(now);
  return Take(now);
}

auto GatewayCore::Records(Instant now, RecordKind kind) -> void {
  newer_elsewhere_.erase(kind);
  dirty_ = true;
  switch (kind) {
    case RecordKind::kConfiguration:
      ReadPolicy();
      break;
    case RecordKind::kBackendServers:
      ReadBackends(now);
      break;
    case RecordKind::kRollouts:
      ReadRollouts(now);
      break;
    case RecordKind::kEvacuations:
      ReadEvacuations(now);
      break;
  }
  actions_.emplace_back(
      LogEvent{"records_changed",
               {{"kind", std::to_string(static_cast<int>(kind))},
                {"as_of", std::to_string(mirror_.Digest(kind).as_of)},
                {"count", std::to_string(mirror_.records(kind).size())}}});
}

auto GatewayCore::ReadPolicy() -> void {
  for (const auto& [name, record] :
       mirror_.records(RecordKind::kConfiguration)) {
    auto policy = decoders_.policy(record);
    if (!policy.ok()) {
      actions_.emplace_back(
          LogEvent{"configuration_unreadable",
                   {{"name", name},
                    {"revision", std::to_string(record.revision)},
                    {"reason", std::string(policy.status().message())}}});
      continue;
    }
    // An older version never replaces a newer one, whoever brings it.
    if (policy_ == nullptr || (*policy)->version() > policy_->version()) {
      policy_ = *std::move(policy);
      actions_.emplace_back(
          LogEvent{"configuration_in_force",
                   {{"version", std::to_string(policy_->version())},
                    {"revision", std::to_string(record.revision)}}});
    }
  }
}

auto GatewayCore::ReadBackends(Instant now) -> void {
  std::vector<BackendEntry> entries;
  std::set<std::string> unreadable;
  for (const auto& [name, record] :
       mirror_.records(RecordKind::kBackendServers)) {
    auto entry = decoders_.backend(record);
    if (entry.ok()) {
      entries.push_back(*std::move(entry));
      continue;
    }
    unreadable.insert(name);
    if (!unreadable_.contains(name)) {
      actions_.emplace_back(
          LogEvent{"backend_server_unreadable",
                   {{"name", name},
                    {"revision", std::to_string(record.revision)},
                    {"reason", std::string(entry.status().message())}}});
    }
  }
  unreadable_ = std::move(unreadable);
  for (const BackendEntry& entry : entries) {
    const auto known = listed_.find(entry.id);
    if (known == listed_.end() || known->second != entry) {
      actions_.emplace_back(
          LogEvent{"backend_server_listed",
                   {{"server", entry.id.text()},
                    {"version", entry.version},
                    {"draining", entry.draining ? "yes" : "no"},
                    {"cold_ms",
                     std::to_string(
                         std::chrono::duration_cast<std::chrono::milliseconds>(
                             entry.cold_left)
                             .count())},
                    {"started", std::to_string(entry.started)},
                    {"sequence", std::to_string(entry.sequence)}}});
    }
  }
  for (const auto& [id, entry] : listed_) {
    if (std::ranges::find(entries, id, &BackendEntry::id) == entries.end()) {
      actions_.emplace_back(
          LogEvent{"backend_server_unlisted", {{"server", id.text()}}});
    }
  }
  listed_.clear();
  for (const BackendEntry& entry : entries) {
    listed_.emplace(entry.id, entry);
  }
  roster_.Update(now, entries);
}

auto GatewayCore::ReadRollouts(Instant now) -> void {
  std::vector<RolloutRecord> records;
  for (const auto& [name, record] : mirror_.records(RecordKind::kRollouts)) {
    auto rollout = decoders_.rollout(record);
    if (rollout.ok()) {
      records.push_back(*std::move(rollout));
      continue;
    }
    actions_.emplace_back(LogEvent{
        "rollout_unreadable",
        {{"name", name}, {"reason", std::string(rollout.status().message())}}});
  }
  rollouts_.Update(now, records);
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
      actions_.emplace_back(
          LogEvent{"domain_returned", {{"domain", domain.text()}}});
    }
  }
  for (const FailureDomainId& domain : evacuated) {
    if (!evacuated_.contains(domain)) {
      actions_.emplace_back(
          LogEvent{"domain_taken_out", {{"domain", domain.text()}}});
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
  const auto found = pending_writes_.find(rollout);
  if (found != pending_writes_.end()) {
    found->second.under_way = false;
    found->second.not_before = now + kWriteRetry;
  }
  actions_.emplace_back(
      LogEvent{"rollout_status_written",
               {{"rollout", rollout},
                {"outcome", outcome == WriteOutcome::kDone       ? "done"
                            : outcome == WriteOutcome::kConflict ? "conflict"
                            : outcome == WriteOutcome::kRefused  ? "refused"
                                                                 : "silent"}}});
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
          },
          [&](const GatewayMessage& specific) {
            std::visit([&](const auto& inner) { Handle(now, from, inner); },
                       specific);
          },
          [](const auto&) {
            // Messages of hosts that are no gateways.
          }},
      message);
  NoteHosts(now);
  return Take(now);
}

auto GatewayCore::Handle(Instant /*now*/,
                         const PeerRef& /*from*/,
                         const std::monostate& /*message*/) -> void {}

auto GatewayCore::Handle(Instant now,
                         const PeerRef& from,
                         const HostDigest& digest) -> void {
  bool progressed = false;
  for (const RolloutProgress& progress : digest.rollouts) {
    progressed = rollouts_.OnPeerProgress(now, progress) || progressed;
  }
  if (progressed) {
    dirty_ = true;
    SendToSome(kRolloutFanOut, Digest(now));
  }
  if (digest.store_reader != self_.host && !digest.store_reader.empty()) {
    const Instant heard = now - std::chrono::milliseconds(digest.store_age_ms);
    if (heard > peers_word_.at) {
      peers_word_ = {digest.store_reader, heard};
    }
  }
  bool asks = false;
  for (const RecordKind kind : kAllKinds) {
    if (!mirror_.IsNewer(kind,
                         digest.kinds.at(static_cast<std::size_t>(kind)))) {
      continue;
    }
    const auto known = newer_elsewhere_.find(kind);
    if (known == newer_elsewhere_.end()) {
      newer_elsewhere_[kind] = {from, now};
      asks = true;
    } else {
      known->second.peer = from;
    }
  }
  if (asks && !ReadsStore(now)) {
    AskForNewer(now);
  }
}

auto GatewayCore::Handle(Instant /*now*/,
                         const PeerRef& from,
                         const RecordsRequest& request) -> void {
  if (static_cast<std::size_t>(request.kind) >= kRecordKinds ||
      !mirror_.IsKnown(request.kind)) {
    return;
  }
  actions_.emplace_back(
      SendToPeer{from.host, from.address,
                 PeerMessage(GatewayMessage(mirror_.Snapshot(request.kind)))});
}

auto GatewayCore::Handle(Instant now,
                         const PeerRef& from,
                         const RecordSnapshot& snapshot) -> void {
  if (static_cast<std::size_t>(snapshot.kind) >= kRecordKinds) {
    return;
  }
  if (mirror_.Replace(snapshot)) {
    actions_.emplace_back(
        LogEvent{"records_from_peer",
                 {{"peer", from.host.text()},
                  {"kind", std::to_string(static_cast<int>(snapshot.kind))},
                  {"as_of", std::to_string(snapshot.as_of)}}});
    Records(now, snapshot.kind);
    SendToSome(kChangeFanOut, Digest(now));
  }
}

auto GatewayCore::Handle(Instant now,
                         const PeerRef& from,
                         const OwnEvidence& evidence) -> void {
  peer_evidence_[from.incarnation] = {now, evidence.rows};
}

auto GatewayCore::Handle(Instant /*now*/,
                         const PeerRef& from,
                         const VersionFault& fault) -> void {
  if (rollouts_.OnPeerVerdict(fault.service, fault.version, fault.order)) {
    dirty_ = true;
    actions_.emplace_back(LogEvent{"version_fault_from_peer",
                                   {{"peer", from.host.text()},
                                    {"service", fault.service.text()},
                                    {"version", fault.version}}});
    SendToSome(kChangeFanOut, fault);
  }
}

auto GatewayCore::OnEvidence(Instant now, const std::vector<VersionRow>& rows)
    -> std::vector<GatewayAction> {
  for (const VersionRow& row : rows) {
    own_evidence_[row.key].Add(row.counts);
  }
  evidence_changed_ = evidence_changed_ || !rows.empty();
  JudgeRollouts(now);
  return Take(now);
}

auto GatewayCore::BeginShutdown(Instant now) -> std::vector<GatewayAction> {
  leaving_ = true;
  membership_.Leave(now, membership_effects_);
  return Take(now);
}

auto GatewayCore::NoteHosts(Instant /*now*/) -> void {
  if (membership_.revision() == hosts_revision_) {
    return;
  }
  hosts_revision_ = membership_.revision();
  most_hosts_ = std::max(most_hosts_, membership_.live_hosts().size());
  dirty_ = true;
  actions_.emplace_back(
      LogEvent{"hosts_changed",
               {{"live", std::to_string(membership_.live_hosts().size())}}});
}

auto GatewayCore::AskForNewer(Instant now) -> void {
  for (auto& [kind, newer] : newer_elsewhere_) {
    const Duration pause =
        ReadsStore(now) || newer.asked ? kWatchHeadStart : Duration(0);
    if (now - newer.since < pause) {
      continue;
    }
    newer.since = now;
    newer.asked = true;
    actions_.emplace_back(
        SendToPeer{newer.peer.host, newer.peer.address,
                   PeerMessage(GatewayMessage(RecordsRequest{kind}))});
  }
}

auto GatewayCore::SpreadDigests(Instant now) -> void {
  if (now < next_digest_) {
    return;
  }
  next_digest_ = now + kDigestPeriod;
  SendToSome(kPeriodicFanOut, Digest(now));
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

auto GatewayCore::SendTo(const HostIdentity& peer, GatewayMessage message)
    -> void {
  actions_.emplace_back(SendToPeer{peer.host, peer.peer_address,
                                   PeerMessage(std::move(message))});
}

auto GatewayCore::SendToSome(std::size_t most, const GatewayMessage& message)
    -> void {
  std::vector<const HostIdentity*> peers;
  for (const HostIdentity& host : membership_.live_hosts()) {
    if (host.host != self_.host) {
      peers.push_back(&host);
    }
  }
  for (std::size_t sent = 0; sent < most && !peers.empty(); ++sent) {
    const std::size_t drawn = random_.Below(peers.size());
    SendTo(*peers[drawn], message);
    peers[drawn] = peers.back();
    peers.pop_back();
  }
}

auto GatewayCore::RankFor(const std::string& name) const -> std::size_t {
  const std::uint64_t seed = StableHash(name);
  const std::uint64_t own = StableHash(self_.host.text(), seed);
  return static_cast<std::size_t>(std::ranges::count_if(
      membership_.live_hosts(), [&](const HostIdentity& host) {
        return host.host != self_.host &&
               StableHash(host.host.text(), seed) > own;
      }));
}

auto GatewayCore::ShareEvidence(Instant now) -> void {
  if (now < next_evidence_ || !evidence_changed_ || !rollouts_.IsRunning()) {
    return;
  }
  next_evidence_ = now + kEvidencePeriod;
  evidence_changed_ = false;
  OwnEvidence own;
  for (const auto& [key, counts] : own_evidence_) {
    own.rows.push_back({key, counts});
  }
  if (membership_.live_hosts().size() <= kSmallFleet) {
    SendToSome(kSmallFleet, own);
    return;
  }
  // Only hosts that may speak for a roll-out need to know.
  std::vector<const HostIdentity*> speakers;
  for (const RolloutSplit& split : rollouts_.splits()) {
    const std::uint64_t seed = StableHash(split.service.text());
    std::vector<std::pair<std::uint64_t, const HostIdentity*>> ranked;
    for (const HostIdentity& host : membership_.live_hosts()) {
      ranked.emplace_back(StableHash(host.host.text(), seed), &host);
    }
    const std::size_t count = std::min(kSpeakers, ranked.size());
    std::ranges::partial_sort(
        ranked, ranked.begin() + static_cast<std::ptrdiff_t>(count),
        [](const auto& a, const auto& b) { return a.first > b.first; });
    for (std::size_t index = 0; index < count; ++index) {
      if (ranked[index].second->host != self_.host) {
        speakers.push_back(ranked[index].second);
      }
    }
  }
  for (const HostIdentity* speaker : speakers) {
    SendTo(*speaker, own);
  }
}

auto GatewayCore::AllEvidence() const -> VersionEvidence {
  VersionEvidence all = own_evidence_;
  for (const auto& [incarnation, received] : peer_evidence_) {
    for (const VersionRow& row : received.second) {
      all[row.key].Add(row.counts);
    }
  }
  return all;
}

auto GatewayCore::JudgeRollouts(Instant now) -> void {
  std::erase_if(peer_evidence_, [now](const auto& item) {
    return now - item.second.first > kEvidenceLifetime;
  });
  if (!rollouts_.IsRunning()) {
    return;
  }
  if (!rollouts_.Judge(now, AllEvidence())) {
    return;
  }
  dirty_ = true;
  SendToSome(kSmallFleet, Digest(now));
  for (const RolloutSplit& split : rollouts_.splits()) {
    actions_.emplace_back(
        LogEvent{"rollout_share",
                 {{"service", split.service.text()},
                  {"target", split.target_version},
                  {"share", std::to_string(split.target_share)}}});
  }
  for (const RolloutStatusWrite& write : rollouts_.DueWrites()) {
    if (write.state != RolloutState::kReverted) {
      continue;
    }
    for (const RolloutSplit& split : rollouts_.splits()) {
      if (split.target_version == write.target_version) {
        SendToSome(
            kSmallFleet,
            VersionFault{split.service, split.target_version, split.order});
      }
    }
  }
}

auto GatewayCore::WriteStatuses(Instant now) -> void {
  const auto due = rollouts_.DueWrites();
  std::erase_if(pending_writes_, [&due](const auto& item) {
    return !item.second.under_way &&
           std::ranges::none_of(due, [&item](const RolloutStatusWrite& write) {
             return write.name == item.first;
           });
  });
  for (const RolloutStatusWrite& write : due) {
    PendingWrite& pending =
        pending_writes_.try_emplace(write.name, PendingWrite{now, now, false})
            .first->second;
    const std::size_t rank = RankFor(write.name);
    if (pending.under_way || now < pending.not_before || rank >= kSpeakers ||
        now - pending.due_since <
            kSpeakerPatience * static_cast<std::int64_t>(rank)) {
      continue;
    }
    pending.under_way = true;
    actions_.emplace_back(write);
    actions_.emplace_back(
        LogEvent{"rollout_status_due",
                 {{"rollout", write.name},
                  {"target", write.target_version},
                  {"state", std::to_string(static_cast<int>(write.state))},
                  {"reason", write.reason},
                  {"revision", std::to_string(write.revision)}}});
  }
}

auto GatewayCore::ColdRates() const -> std::map<BackendServerId, double> {
  std::map<BackendServerId, double> rates;
  const auto hosts = static_cast<double>(std::max<std::size_t>(most_hosts_, 1));
  for (const UsableBackend& backend : roster_.usable()) {
    const ForwardingService* service =
        policy_->FindService(backend.entry.service);
    if (service == nullptr || service->cold_requests_per_second <= 0.0) {
      // No limit is stated.
      rates[backend.entry.id] = 1e6;
      continue;
    }
    const double limit = service->cold_requests_per_second * kColdShareUsed;
    if (!membership_.joined()) {
      rates[backend.entry.id] = kColdRateAlone;
    } else if (limit / hosts >= kLeastColdRate) {
      rates[backend.entry.id] = limit / hosts;
    } else {
      const std::size_t sharers = std::clamp<std::size_t>(
          static_cast<std::size_t>(limit / 2.0), 1, kMostColdSharers);
      if (RankFor(backend.entry.id.text()) < sharers) {
        rates[backend.entry.id] = limit / static_cast<double>(sharers);
      }
    }
  }
  return rates;
}

auto GatewayCore::Fronts() const -> std::vector<FrontAddress> {
  std::vector<FrontAddress> fronts;
  for (const HostIdentity& host : membership_.live_hosts()) {
    if (!membership_.IsLeaving(host.host)) {
      fronts.push_back({host.caller_address, host.domain, host.region});
    }
  }
  return fronts;
}

auto GatewayCore::AcceptedBackends(Instant now) -> std::vector<UsableBackend> {
  std::vector<UsableBackend> accepted;
  const auto splits = rollouts_.splits();
  for (UsableBackend& backend : roster_.usable()) {
    const auto key = std::pair(backend.entry.service, backend.entry.version);
    // Versions of the first view have been there before this host.
    const auto seen =
        version_seen_
            .try_emplace(key, published_ ? now : now - kNewVersionPause)
            .first->second;
    const bool ordered =
        std::ranges::any_of(splits, [&](const RolloutSplit& split) {
          return split.service == key.first &&
                 split.target_version == key.second;
        });
    if (ordered || now - seen >= kNewVersionPause) {
      accepted.push_back(std::move(backend));
    } else {
      next_publish_ = now + kTimedPublish;
    }
  }
  return accepted;
}

auto GatewayCore::Publish(Instant now) -> void {
  dirty_ = false;
  next_publish_.reset();
  const bool all_known = std::ranges::all_of(
      kAllKinds, [this](RecordKind kind) { return mirror_.IsKnown(kind); });
  auto view = std::make_shared<TrafficView>();
  view->sharing_hosts = std::max<std::size_t>(most_hosts_, 1);
  view->regions = settings_.regions;
  view->fronts = Fronts();
  // Peers tell how far roll-outs are and how many share a cold server.
  const bool met_peers = published_ || membership_.joined() ||
                         now - started_.value_or(now) >= kLongestJoin;
  if (policy_ != nullptr && all_known && !met_peers) {
    next_publish_ = now + kJoinPoll;
  }
  if (policy_ != nullptr && all_known && met_peers) {
    view->policy = policy_;
    view->backends = AcceptedBackends(now);
    view->evacuated = evacuated_;
    view->splits = rollouts_.splits();
    view->cold_rates = ColdRates();
    published_ = true;
  }
  actions_.emplace_back(PublishView{std::move(view)});
}

auto GatewayCore::Take(Instant now) -> std::vector<GatewayAction> {
  for (Action& action : membership_effects_.TakeActions()) {
    std::visit(
        Overloaded{[this](SendToPeer& send) {
                     actions_.emplace_back(std::move(send));
                   },
                   [this](LogEvent& event) {
                     actions_.emplace_back(std::move(event));
                   },
                   [this](ReadHostList& read) { actions_.emplace_back(read); },
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
  return std::exchange(actions_, {});
}

}  // namespace zinniastep
