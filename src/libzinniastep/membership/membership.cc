#include "libzinniastep/membership/membership.h"

#include <algorithm>
#include <bit>
#include <utility>
#include <variant>

#include "libzinniastep/base/overloaded.h"
#include "libzinniastep/core/action.h"

namespace zinniastep {

namespace {

// Factor of the logarithm of the fleet's size in how often a record is sent.
constexpr std::uint32_t kSpreadFactor = 3;
// A process that found no peer for so many probe periods goes on alone.
constexpr int kJoinPeriods = 5;
// Hosts that are not live and that one host contacts in a probe period, at
// most.
constexpr std::size_t kStrangersPerPeriod = 3;
// Of the lost hosts, the part that the whole fleet contacts in a probe period:
// one that is back is found within two or three periods at any size.
constexpr double kLostPartPerPeriod = 0.5;
// Hosts that are drawn for each one asked to probe; the first half must be in
// a third failure domain.
constexpr std::uint32_t kTriesPerHelper = 4;
// Records that a reply holds when this host has sent as many as it may: enough
// to name others who can be asked.
constexpr std::size_t kFewestRecordsPerSync = 4;

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
    sync_pause_ = settings_.probe_period;
    first_time_ = last_time_ = now;
    next_probe_ = next_sync_ = next_host_list_ = now;
  }
  NoticePause(now);
  last_time_ = now;
  if (!joined_ && now - first_time_ >= kJoinPeriods * settings_.probe_period) {
    joined_ = true;
  }
  if (now >= next_host_list_) {
    const bool soon = host_lists_ == 0 || live_.size() < 2;
    ++host_lists_;
    next_host_list_ = now + (soon ? std::min(settings_.first_host_list_period,
                                             settings_.host_list_period)
                                  : settings_.host_list_period);
    effects.Do(ReadHostList{});
  }
  Probing(now, effects);
  ExpireSuspects(now, effects);
  RebuildLive();
  if (now >= next_sync_) {
    // Whoever has not met its peers yet keeps asking: the first ones asked may
    // be starting as well.
    next_sync_ = now + (joined_ ? sync_pause_ : settings_.probe_timeout);
    StartSync(now, effects);
  }
}

// A process that was stopped must not blame others for its own silence.
auto Membership::NoticePause(Instant now) -> void {
  const Duration gap = now - last_time_;
  if (gap < settings_.pause) {
    return;
  }
  probe_.reset();
  next_probe_ = now;
  for (auto& [host, until] : suspected_until_) {
    until += gap;
  }
}

auto Membership::Probing(Instant now, Effects& effects) -> void {
  if (probe_ && !probe_->indirect &&
      now - probe_->started >= settings_.probe_timeout) {
    AskOthersToProbe(effects);
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
  ContactStrangers(effects);
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

auto Membership::AskOthersToProbe(Effects& effects) -> void {
  probe_->indirect = true;
  const HostIdentity* target = Find(probe_->target);
  // Two domains that cannot reach each other are reached through a third.
  const auto is_elsewhere = [&](const HostIdentity& helper) {
    return helper.domain != self_.domain &&
           (target == nullptr || helper.domain != target->domain);
  };
  std::uint32_t asked = 0;
  for (std::uint32_t tries = 0;
       tries < kTriesPerHelper * settings_.indirect_probes &&
       asked < settings_.indirect_probes && live_.size() > 2;
       ++tries) {
    const HostIdentity& helper = live_[random_.Below(live_.size())];
    if (helper.host == self_.host || helper.host == probe_->target ||
        (tries < settings_.indirect_probes * kTriesPerHelper / 2 &&
         !is_elsewhere(helper))) {
      continue;
    }
    ++asked;
    Send(helper.host, helper.peer_address,
         PingRequest{probe_->sequence, probe_->target, Piggyback(helper.host)},
         effects);
  }
}

// Every host is probed once in each pass over a shuffled list, so that the
// time until a lost host is noticed is bounded.
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
  // One that lives hears of the doubt now, and not when others have told it on.
  Send(host, suspect.identity.peer_address,
       Ping{++sequence_, HostId(), Piggyback(host)}, effects);
}

auto Membership::ExpireSuspects(Instant now, Effects& effects) -> void {
  std::vector<HostId> expired;
  for (const auto& [host, until] : suspected_until_) {
    if (now >= until) {
      expired.push_back(host);
    }
  }
  for (const HostId& host : expired) {
    MemberRecord lost = *table_.Find(host);
    lost.state = MemberState::kLost;
    Accept(now, lost, effects);
  }
  std::erase_if(lost_since_, [&](const auto& entry) {
    if (now - entry.second < settings_.forget_lost) {
      return false;
    }
    table_.Erase(entry.first);
    queue_.Erase(entry.first);
    return true;
  });
}

// Seeds and listed hosts that are not in the table are asked for theirs: this
// joins a new process, and joins two halves of a fleet again. Lost hosts are
// pinged, and contradict when they live. The hosts share this work, since all
// of them know of the same strangers.
auto Membership::ContactStrangers(Effects& effects) -> void {
  const auto live = static_cast<double>(live_.size());
  const double wanted =
      static_cast<double>(kStrangersPerPeriod) +
      kLostPartPerPeriod * static_cast<double>(lost_since_.size());
  const double share =
      std::min(wanted / live, static_cast<double>(kStrangersPerPeriod));
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
  for (const ListedHost& listed : listed_) {
    addresses.push_back(listed.address);
  }
  std::erase_if(addresses, [&](const std::string& address) {
    return known.contains(address);
  });
  std::vector<HostId> lost;
  for (const auto& [host, since] : lost_since_) {
    lost.push_back(host);
  }
  const std::size_t strangers = addresses.size() + lost.size();
  const std::size_t first = strangers == 0 ? 0 : random_.Below(strangers);
  for (std::size_t i = 0; i < std::min(count, strangers); ++i) {
    const std::size_t drawn = (first + i) % strangers;
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

// Hosts that start or return together ask for the whole table at once. What one
// host sends is bounded, so that its link stays free for probes; those that got
// little ask others.
auto Membership::TakeSyncRecords(Instant now) -> std::size_t {
  const double rate = settings_.sync_records_per_second;
  sync_records_ = std::min(
      rate,
      sync_records_ +
          rate * std::chrono::duration<double>(now - sync_records_at_).count());
  sync_records_at_ = now;
  const std::size_t records = std::clamp<std::size_t>(
      static_cast<std::size_t>(sync_records_), kFewestRecordsPerSync,
      std::max<std::size_t>(settings_.records_per_sync, kFewestRecordsPerSync));
  return records;
}

auto Membership::StartSync(Instant /*now*/, Effects& effects) -> void {
  if (live_.size() < 2) {
    return;
  }
  // One of the others; the last one stands in for this host itself.
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
  Send(from.host, from.address,
       Ack{ping.sequence, ping.origin, Piggyback(from.host)}, effects);
}

auto Membership::Handle(Instant now,
                        const PeerRef& from,
                        const Ack& ack,
                        Effects& effects) -> void {
  MergeAll(now, ack.records, effects);
  if (!ack.origin.empty() && ack.origin != self_.host) {
    // A passed-on answer names the target as origin's probe knows it.
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
  SyncReply reply =
      table_.Differing(request.digests, next_bucket_, TakeSyncRecords(now));
  sync_records_ =
      std::max(0.0, sync_records_ - static_cast<double>(reply.records.size()));
  next_bucket_ = random_.Below(kMemberBuckets);
  Send(from.host, from.address, std::move(reply), effects);
}

auto Membership::Handle(Instant now,
                        const PeerRef& from,
                        const SyncReply& reply,
                        Effects& effects) -> void {
  bool learned = false;
  for (const MemberRecord& record : reply.records) {
    learned = learned || table_.IsNewer(record);
    Merge(now, record, effects);
  }
  // Tables are compared often while they differ: after a start, and when cuts
  // heal, more changes than probes can carry.
  sync_pause_ = learned ? settings_.probe_period
                        : std::min(2 * sync_pause_, settings_.sync_period);
  next_sync_ = std::min(next_sync_, now + sync_pause_);
  if (reply.more && learned) {
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
    ContradictOwn(record, effects);
  } else if (table_.IsNewer(record)) {
    Accept(now, record, effects);
  }
}

// Another process's record of this host, or a doubt about this process, is
// beaten by a higher round.
auto Membership::ContradictOwn(const MemberRecord& record, Effects& effects)
    -> void {
  const MemberRecord& own = OwnRecord();
  const bool doubted = record.identity.incarnation != self_.incarnation ||
                       record.state != MemberState::kAlive;
  if (record.round < own.round || !doubted) {
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
  suspected_until_.erase(host);
  lost_since_.erase(host);
  if (record.state == MemberState::kSuspect) {
    suspected_until_[host] = now + settings_.suspicion;
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
  const bool left = next.leaving && !(held_leaving && !replaced);
  live_changed_ = live_changed_ || was_live != is_live || replaced || left;
}

// The receiver's own record comes first when it is not plain alive, so that a
// host that wakes from a pause learns of the doubt at once.
auto Membership::Piggyback(const HostId& receiver)
    -> std::vector<MemberRecord> {
  std::vector<MemberRecord> records;
  const MemberRecord* about = table_.Find(receiver);
  if (about != nullptr && about->state != MemberState::kAlive) {
    records.push_back(*about);
  }
  for (const HostId& host :
       queue_.Take(settings_.records_per_message, SendLimit())) {
    records.push_back(*table_.Find(host));
  }
  return records;
}

auto Membership::OnHostList(Instant /*now*/, const HostListRead& list) -> void {
  listed_.clear();
  listed_leaving_.clear();
  for (const ListedHost& listed : list.hosts) {
    if (listed.leaving) {
      listed_leaving_.insert(listed.host);
    }
    if (listed.host != self_.host) {
      listed_.push_back(listed);
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
  return listed_leaving_.contains(host);
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
  return kSpreadFactor *
         static_cast<std::uint32_t>(std::bit_width(live_.size()));
}

}  // namespace zinniastep
