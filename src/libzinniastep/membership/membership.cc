#include "libzinniastep/membership/membership.h"

#include <algorithm>
#include <bit>
#include <utility>
#include <variant>

#include "libzinniastep/base/overloaded.h"
#include "libzinniastep/core/action.h"

namespace zinniastep {

namespace {

// A record is piggybacked on this many messages for each binary digit of the
// number of live hosts.
constexpr std::uint32_t kSendsPerSizeBit = 3;
// Number of probe periods without a peer after which a process counts as
// joined on its own.
constexpr int kMaxJoinProbePeriods = 5;
// Maximum number of non-live hosts that one host contacts in a probe period.
constexpr std::size_t kMaxNonLiveContactsPerPeriod = 3;
// Fraction of the lost hosts that the whole fleet contacts in a probe period. A
// host that returns is found within two or three periods at any fleet size.
constexpr double kLostFractionPerPeriod = 0.5;
// Random draws for each indirect probe. The first half of them accepts only
// hosts in a third failure domain.
constexpr std::uint32_t kDrawsPerIndirectProbe = 4;
// Record limit of a reply when the rate limit is used up: enough to name other
// hosts that the receiver can synchronize with.
constexpr std::size_t kMinRecordsPerSync = 4;

auto Send(const HostId& to,
          const std::string& address,
          MembershipMessage message,
          Effects& effects) -> void {
  effects.Do(SendToPeer{to, address, PeerMessage(std::move(message))});
}

}  // namespace

Membership::Membership(HostIdentity self,
                       MembershipSettings settings,
                       std::uint64_t seed)
    : self_(std::move(self)), settings_(std::move(settings)), random_(seed) {
  MemberRecord own;
  own.identity = self_;
  table_.Put(own);
  queue_.Add(self_.host);
  RebuildLive();
}

auto Membership::OnTime(Instant now, Effects& effects) -> void {
  if (!started_) {
    started_ = true;
    sync_interval_ = settings_.probe_period;
    start_time_ = last_time_ = now;
    next_probe_ = next_sync_ = next_host_list_ = now;
  }
  DetectPause(now);
  last_time_ = now;
  if (!joined_ &&
      now - start_time_ >= kMaxJoinProbePeriods * settings_.probe_period) {
    joined_ = true;
  }
  if (now >= next_host_list_) {
    const bool use_first_period = host_list_reads_ == 0 || live_.size() < 2;
    ++host_list_reads_;
    next_host_list_ =
        now + (use_first_period ? std::min(settings_.first_host_list_period,
                                           settings_.host_list_period)
                                : settings_.host_list_period);
    effects.Do(ReadHostList{});
  }
  RunProbes(now, effects);
  ExpireSuspects(now, effects);
  RebuildLive();
  if (now >= next_sync_) {
    // A host that has not joined retries after the probe timeout, because the
    // first peers that it asked may be starting as well.
    next_sync_ = now + (joined_ ? sync_interval_ : settings_.probe_timeout);
    StartSync(now, effects);
  }
}

// After a pause of this process, restarts the open probe's timeout and extends
// the suspicions, because the answers of the pause may still wait unread.
auto Membership::DetectPause(Instant now) -> void {
  const Duration gap = now - last_time_;
  if (gap < settings_.pause) {
    return;
  }
  if (probe_) {
    probe_->started = now;
    next_probe_ = now + settings_.probe_period;
  }
  for (auto& [host, suspicion] : suspicions_) {
    suspicion.until += gap;
  }
}

auto Membership::RunProbes(Instant now, Effects& effects) -> void {
  if (probe_ && !probe_->indirect &&
      now - probe_->started >= settings_.probe_timeout) {
    SendIndirectProbes(effects);
  }
  if (now < next_probe_) {
    return;
  }
  if (probe_) {
    Suspect(now, probe_->target, effects);
    probe_.reset();
  }
  next_probe_ = std::max(next_probe_ + settings_.probe_period,
                         now + settings_.probe_period / 2);
  StartProbe(now, effects);
  ContactNonLiveHosts(effects);
}

auto Membership::StartProbe(Instant now, Effects& effects) -> void {
  const std::optional<HostId> target = NextTarget();
  if (!target) {
    return;
  }
  probe_ = Probe{++sequence_, *target, now, false};
  Send(*target, table_.Find(*target)->identity.peer_address,
       Ping{sequence_, HostId(), Piggyback(*target)}, effects);
}

auto Membership::SendIndirectProbes(Effects& effects) -> void {
  probe_->indirect = true;
  const HostIdentity* target = Find(probe_->target);
  // A host in a third domain may reach the target when this host's domain and
  // the target's domain cannot reach each other.
  const auto is_elsewhere = [&](const HostIdentity& helper) {
    return helper.domain != self_.domain &&
           (target == nullptr || helper.domain != target->domain);
  };
  std::uint32_t asked = 0;
  for (std::uint32_t tries = 0;
       tries < kDrawsPerIndirectProbe * settings_.indirect_probes &&
       asked < settings_.indirect_probes && live_.size() > 2;
       ++tries) {
    const HostIdentity& helper = live_[random_.Below(live_.size())];
    if (helper.host == self_.host || helper.host == probe_->target ||
        (tries < settings_.indirect_probes * kDrawsPerIndirectProbe / 2 &&
         !is_elsewhere(helper))) {
      continue;
    }
    ++asked;
    Send(helper.host, helper.peer_address,
         PingRequest{probe_->sequence, probe_->target, Piggyback(helper.host)},
         effects);
  }
}

// Returns the next host of a shuffled list that contains every live host once,
// which bounds the time until a lost host is detected.
auto Membership::NextTarget() -> std::optional<HostId> {
  for (int pass = 0; pass < 2; ++pass) {
    while (!targets_.empty()) {
      HostId target = std::move(targets_.back());
      targets_.pop_back();
      if (Find(target) != nullptr && target != self_.host) {
        return target;
      }
    }
    for (const HostIdentity& identity : live_) {
      targets_.push_back(identity.host);
    }
    for (std::size_t i = targets_.size(); i > 1; --i) {
      std::swap(targets_[i - 1], targets_[random_.Below(i)]);
    }
  }
  return std::nullopt;
}

auto Membership::Suspect(Instant now, const HostId& host, Effects& effects)
    -> void {
  const MemberRecord* held = table_.Find(host);
  if (held == nullptr || held->state != MemberState::kAlive) {
    return;
  }
  MemberRecord suspect = *held;
  suspect.state = MemberState::kSuspect;
  Accept(now, suspect, effects);
  AskSuspect(host, effects);
}

// Sends the suspicion to the suspected host directly, so that a live host can
// refute it before the record reaches it through other hosts.
auto Membership::AskSuspect(const HostId& host, Effects& effects) -> void {
  Send(host, table_.Find(host)->identity.peer_address,
       Ping{++sequence_, HostId(), Piggyback(host)}, effects);
}

auto Membership::ExpireSuspects(Instant now, Effects& effects) -> void {
  std::vector<HostId> expired;
  for (auto& [host, suspicion] : suspicions_) {
    if (now >= suspicion.until) {
      expired.push_back(host);
    } else if (!suspicion.asked &&
               now >= suspicion.until - settings_.suspicion / 2) {
      // A refutation spreads no faster than the suspicion did, and could come
      // too late through other hosts.
      suspicion.asked = true;
      AskSuspect(host, effects);
    }
  }
  for (const HostId& host : expired) {
    MemberRecord lost = *table_.Find(host);
    lost.state = MemberState::kLost;
    Accept(now, lost, effects);
  }
  std::erase_if(lost_since_, [&](const auto& entry) {
    if (now - entry.second < settings_.lost_retention) {
      return false;
    }
    table_.Erase(entry.first);
    queue_.Erase(entry.first);
    return true;
  });
}

// Sends sync requests to seeds and listed hosts that are not live, which joins
// a new process to the fleet and reunites two halves of a partitioned fleet.
// Also pings lost hosts, which refute their loss if they are alive. The number
// of contacts per host falls with the number of live hosts, since all of them
// try the same addresses.
auto Membership::ContactNonLiveHosts(Effects& effects) -> void {
  const auto live = static_cast<double>(live_.size());
  const double fleet_contacts =
      static_cast<double>(kMaxNonLiveContactsPerPeriod) +
      kLostFractionPerPeriod * static_cast<double>(lost_since_.size());
  const double share = std::min(
      fleet_contacts / live, static_cast<double>(kMaxNonLiveContactsPerPeriod));
  auto count = static_cast<std::size_t>(share);
  if (random_.Unit() < share - static_cast<double>(count)) {
    ++count;
  }
  if (count == 0) {
    return;
  }
  std::set<std::string> known;
  for (const HostIdentity& identity : live_) {
    known.insert(identity.peer_address);
  }
  std::vector<std::string> addresses = settings_.seeds;
  for (const ListedHost& listed : listed_hosts_) {
    addresses.push_back(listed.address);
  }
  std::erase_if(addresses, [&](const std::string& address) {
    return known.contains(address);
  });
  std::vector<HostId> lost;
  for (const auto& [host, since] : lost_since_) {
    lost.push_back(host);
  }
  const std::size_t contacts = addresses.size() + lost.size();
  const std::size_t first = contacts == 0 ? 0 : random_.Below(contacts);
  for (std::size_t i = 0; i < std::min(count, contacts); ++i) {
    const std::size_t drawn = (first + i) % contacts;
    if (drawn < addresses.size()) {
      Send(HostId(), addresses[drawn],
           SyncRequest{OwnRecord(), table_.digests()}, effects);
      continue;
    }
    const HostId& host = lost[drawn - addresses.size()];
    Send(host, table_.Find(host)->identity.peer_address,
         Ping{++sequence_, HostId(), Piggyback(host)}, effects);
  }
}

// Hosts that start or return together request the whole table at the same time.
// The rate limit keeps this host's link free for probes. Hosts that receive few
// records send their next request to another peer.
auto Membership::RefillSyncBudget(Instant now) -> std::size_t {
  const double rate = settings_.sync_records_per_second;
  sync_budget_ = std::min(
      rate, sync_budget_ +
                rate * std::chrono::duration<double>(now - sync_budget_updated_)
                           .count());
  sync_budget_updated_ = now;
  const std::size_t records = std::clamp<std::size_t>(
      static_cast<std::size_t>(sync_budget_), kMinRecordsPerSync,
      std::max<std::size_t>(settings_.records_per_sync, kMinRecordsPerSync));
  return records;
}

auto Membership::StartSync(Instant /*now*/, Effects& effects) -> void {
  if (live_.size() < 2) {
    return;
  }
  // Draws from all live hosts but the last; a draw of this host selects the
  // last one instead.
  const HostIdentity* peer = &live_[random_.Below(live_.size() - 1)];
  if (peer->host == self_.host) {
    peer = &live_.back();
  }
  Send(peer->host, peer->peer_address,
       SyncRequest{OwnRecord(), table_.digests()}, effects);
}

auto Membership::OnMessage(Instant now,
                           const PeerRef& from,
                           const MembershipMessage& message,
                           Effects& effects) -> void {
  std::visit(
      Overloaded{[](const std::monostate&) {},
                 [&](const auto& one) { Handle(now, from, one, effects); }},
      message);
  RebuildLive();
}

auto Membership::Handle(Instant now,
                        const PeerRef& from,
                        const Ping& ping,
                        Effects& effects) -> void {
  MergeAll(now, ping.records, effects);
  Ack ack{ping.sequence, ping.origin, Piggyback(from.host)};
  const bool doubts_self =
      std::ranges::any_of(ping.records, [this](const MemberRecord& record) {
        return record.identity.host == self_.host &&
               record.state != MemberState::kAlive;
      });
  if (doubts_self) {
    // The queue drops the refutation after a number of sends, but every host
    // that asks needs it.
    ack.records.insert(ack.records.begin(), OwnRecord());
  }
  Send(from.host, from.address, std::move(ack), effects);
}

auto Membership::Handle(Instant now,
                        const PeerRef& from,
                        const Ack& ack,
                        Effects& effects) -> void {
  MergeAll(now, ack.records, effects);
  if (!ack.origin.empty() && ack.origin != self_.host) {
    // The forwarded Ack has the sequence of the probe that the origin started.
    if (const HostIdentity* origin = Find(ack.origin)) {
      Send(origin->host, origin->peer_address,
           Ack{ack.sequence, ack.origin, {}}, effects);
    }
    return;
  }
  if (probe_ && probe_->sequence == ack.sequence &&
      (from.host == probe_->target || ack.origin == self_.host)) {
    probe_.reset();
  }
}

auto Membership::Handle(Instant now,
                        const PeerRef& from,
                        const PingRequest& request,
                        Effects& effects) -> void {
  MergeAll(now, request.records, effects);
  if (const HostIdentity* target = Find(request.target)) {
    Send(target->host, target->peer_address,
         Ping{request.sequence, from.host, Piggyback(target->host)}, effects);
  }
}

auto Membership::Handle(Instant now,
                        const PeerRef& from,
                        const SyncRequest& request,
                        Effects& effects) -> void {
  if (request.sender.identity.host != self_.host) {
    Merge(now, request.sender, effects);
  }
  SyncReply reply = table_.DifferingBuckets(request.digests, next_bucket_,
                                            RefillSyncBudget(now));
  sync_budget_ =
      std::max(0.0, sync_budget_ - static_cast<double>(reply.records.size()));
  next_bucket_ = random_.Below(kMemberBuckets);
  Send(from.host, from.address, std::move(reply), effects);
}

auto Membership::Handle(Instant now,
                        const PeerRef& from,
                        const SyncReply& reply,
                        Effects& effects) -> void {
  bool has_newer_records = false;
  for (const MemberRecord& record : reply.records) {
    has_newer_records = has_newer_records || table_.IsNewer(record);
    Merge(now, record, effects);
  }
  // Synchronizes often while the tables differ: after a start and after a
  // network partition heals, there are more changes than probes can carry.
  sync_interval_ = has_newer_records
                       ? settings_.probe_period
                       : std::min(2 * sync_interval_, settings_.sync_period);
  next_sync_ = std::min(next_sync_, now + sync_interval_);
  if (reply.more && has_newer_records) {
    RebuildLive();
    if (reply.records.size() >= settings_.records_per_sync) {
      Send(from.host, from.address, SyncRequest{OwnRecord(), table_.digests()},
           effects);
    } else {
      StartSync(now, effects);
    }
  } else {
    joined_ = true;
  }
}

auto Membership::MergeAll(Instant now,
                          const std::vector<MemberRecord>& records,
                          Effects& effects) -> void {
  for (const MemberRecord& record : records) {
    Merge(now, record, effects);
  }
}

auto Membership::Merge(Instant now,
                       const MemberRecord& record,
                       Effects& effects) -> void {
  const bool unknown = table_.Find(record.identity.host) == nullptr;
  if (record.identity.host.empty() ||
      (unknown && record.state == MemberState::kLost)) {
    return;
  }
  if (record.identity.host == self_.host) {
    RefuteRecord(record, effects);
  } else if (table_.IsNewer(record)) {
    Accept(now, record, effects);
  }
}

// Replaces a record of another incarnation of this host, or one that marks this
// process as suspect or lost, by an own record with a higher round.
auto Membership::RefuteRecord(const MemberRecord& record, Effects& effects)
    -> void {
  const MemberRecord& own = OwnRecord();
  const bool needs_refutation =
      record.identity.incarnation != self_.incarnation ||
      record.state != MemberState::kAlive;
  if (record.round < own.round || !needs_refutation) {
    return;
  }
  MemberRecord next = own;
  next.round = record.round + 1;
  table_.Put(next);
  queue_.Add(self_.host);
  effects.Log(
      "membership_contradicted",
      {{"host", self_.host.text()}, {"round", std::to_string(next.round)}});
}

auto Membership::Accept(Instant now,
                        const MemberRecord& record,
                        Effects& effects) -> void {
  const HostId host = record.identity.host;
  const MemberRecord* held = table_.Find(host);
  const bool was_live = held != nullptr && held->state != MemberState::kLost;
  const Incarnation before = held == nullptr ? 0 : held->identity.incarnation;
  const bool held_leaving = held != nullptr && held->leaving;
  const bool is_live = record.state != MemberState::kLost;
  const bool replaced = before != record.identity.incarnation;
  MemberRecord next = record;
  if (held != nullptr && !replaced) {
    next.leaving = record.leaving || held_leaving;
  }
  table_.Put(next);
  queue_.Add(host);
  suspicions_.erase(host);
  lost_since_.erase(host);
  if (record.state == MemberState::kSuspect) {
    suspicions_[host] = {now + settings_.suspicion, false};
  }
  if (!is_live) {
    lost_since_[host] = now;
  }
  if (was_live && (!is_live || replaced)) {
    effects.Log("host_lost", {{"host", host.text()}});
    effects.Tell(HostLost{host, before});
  }
  if (is_live && (!was_live || replaced)) {
    effects.Log("host_joined", {{"host", host.text()}});
    effects.Tell(HostJoined{host, record.identity.incarnation});
  }
  const bool started_leaving = next.leaving && !(held_leaving && !replaced);
  live_changed_ =
      live_changed_ || was_live != is_live || replaced || started_leaving;
}

// Returns the records to send with a message. The receiver's own record comes
// first when it is suspect or lost, so that a host that resumes after a pause
// can refute it at once.
auto Membership::Piggyback(const HostId& receiver)
    -> std::vector<MemberRecord> {
  std::vector<MemberRecord> records;
  const MemberRecord* receiver_record = table_.Find(receiver);
  if (receiver_record != nullptr &&
      receiver_record->state != MemberState::kAlive) {
    records.push_back(*receiver_record);
  }
  for (const HostId& host :
       queue_.Take(settings_.records_per_message, SendLimit())) {
    records.push_back(*table_.Find(host));
  }
  return records;
}

auto Membership::OnHostList(Instant /*now*/, const HostListRead& list) -> void {
  listed_hosts_.clear();
  listed_leaving_hosts_.clear();
  for (const ListedHost& listed : list.hosts) {
    if (listed.leaving) {
      listed_leaving_hosts_.insert(listed.host);
    }
    if (listed.host != self_.host) {
      listed_hosts_.push_back(listed);
    }
  }
}

auto Membership::Leave(Instant /*now*/, Effects& effects) -> void {
  MemberRecord own = OwnRecord();
  if (own.leaving) {
    return;
  }
  own.leaving = true;
  table_.Put(own);
  queue_.Add(self_.host);
  ++revision_;
  for (std::uint32_t i = 0; i < settings_.indirect_probes; ++i) {
    const HostIdentity& peer = live_[random_.Below(live_.size())];
    if (peer.host != self_.host) {
      Send(peer.host, peer.peer_address,
           Ping{++sequence_, HostId(), Piggyback(peer.host)}, effects);
    }
  }
}

auto Membership::FindIncarnation(Incarnation incarnation) const
    -> std::optional<HostIdentity> {
  for (const HostIdentity& identity : live_) {
    if (identity.incarnation == incarnation) {
      return identity;
    }
  }
  return std::nullopt;
}

auto Membership::Find(const HostId& host) const -> const HostIdentity* {
  const MemberRecord* record = table_.Find(host);
  if (record == nullptr || record->state == MemberState::kLost) {
    return nullptr;
  }
  return &record->identity;
}

auto Membership::IsLeaving(const HostId& host) const -> bool {
  const MemberRecord* record = table_.Find(host);
  return record != nullptr && record->leaving;
}

auto Membership::IsListedLeaving(const HostId& host) const -> bool {
  return listed_leaving_hosts_.contains(host);
}

auto Membership::RebuildLive() -> void {
  if (!live_changed_) {
    return;
  }
  live_changed_ = false;
  live_.clear();
  for (const auto& [host, record] : table_.records()) {
    if (record.state != MemberState::kLost) {
      live_.push_back(record.identity);
    }
  }
  ++revision_;
}

auto Membership::OwnRecord() const -> const MemberRecord& {
  return *table_.Find(self_.host);
}

auto Membership::SendLimit() const -> std::uint32_t {
  return kSendsPerSizeBit *
         static_cast<std::uint32_t>(std::bit_width(live_.size()));
}

}  // namespace zinniastep
