#include "libzinniastep/claim/shard_authority.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "libzinniastep/claim/claim_reply.h"

namespace zinniastep {

namespace {

constexpr std::size_t kWaitingKeys = 1024;
constexpr Duration kFirstReadBackoff = std::chrono::milliseconds(50);
constexpr Duration kLongestReadBackoff = std::chrono::seconds(2);
// Changes that wait for a write at the most; more asks are refused.
constexpr std::size_t kMostPending = 4096;

}  // namespace

ShardAuthority::ShardAuthority(std::uint32_t shard,
                               const ClusterView& cluster,
                               const ClaimLimits& limits,
                               StoreTokens& tokens)
    : shard_(shard),
      cluster_(&cluster),
      limits_(limits),
      tokens_(&tokens),
      budget_(limits.shard_writes_per_second(), limits.write_burst),
      replays_(limits),
      waiting_(limits.waiters_per_key, kWaitingKeys) {}

auto ShardAuthority::OnAsk(Instant now,
                           const PeerRef& from,
                           const ClaimAsk& ask,
                           ClaimOutbox& outbox) -> void {
  const Waiter waiter{from, ask};
  if (!loaded_) {
    if (!wanted_since_) {
      wanted_since_ = now;
    }
    if (now - *wanted_since_ > limits_.longest_commit_wait) {
      Reply(waiter, ClaimAnswer::kUntold, outbox);
    } else if (early_.size() < kMostPending) {
      early_.push_back(waiter);
    }
    return;
  }
  if (const auto entry = Effective(ask.key)) {
    ReplyTo(now, waiter, *entry, outbox);
    return;
  }
  const auto found = pending_.find(ask.key);
  if (found != pending_.end() && found->second.claim) {
    const ClaimAsk& first = found->second.claim->waiter.ask;
    if (first.request != ask.request) {
      waiting_.Add(waiter);
      Reply(waiter, ClaimAnswer::kWait, outbox);
    }
    return;
  }
  if (pending_.size() >= kMostPending) {
    Reply(waiter, ClaimAnswer::kUntold, outbox);
    return;
  }
  Change& change = pending_[ask.key];
  if (change.reports.empty()) {
    change.since = now;
  }
  const Duration patience =
      std::min(limits_.longest_commit_wait, Duration(ask.patience) / 4 * 3);
  change.claim = Claim{waiter, now, now + patience, false};
}

auto ShardAuthority::OnReport(Instant now,
                              const PeerRef& from,
                              const ClaimReport& report,
                              ClaimOutbox& outbox) -> void {
  if (!loaded_) {
    return;
  }
  waiting_.Remove(report.key, report.request);
  const auto found = pending_.find(report.key);
  if (found != pending_.end() && found->second.claim &&
      found->second.claim->waiter.ask.request == report.request) {
    found->second.claim.reset();
  }
  if (report.outcome == ClaimOutcome::kRan) {
    const auto entry = Effective(report.key);
    if (entry && entry->request == report.request) {
      replays_.Keep(now, report.key, AnswerOf(report));
    }
  }
  AddReport(now, report.key, Report{from, report.request, report.outcome});
  WakeWaiters(now, report.key, outbox);
}

auto ShardAuthority::OnTime(Instant now, ClaimOutbox& outbox, Effects& effects)
    -> void {
  replays_.OnTime(now);
  confirmed_ = confirmed_ && now - last_time_ < limits_.pause;
  last_time_ = now;
  if (!is_holder()) {
    StepDown();
    return;
  }
  if (!loaded_) {
    if (!read_ && now >= next_read_) {
      StartRead(effects);
    }
    return;
  }
  RefuseLateClaims(now, outbox);
  if (read_ || write_) {
    return;
  }
  if (now < next_read_) {
    return;
  }
  WriteIfDue(now, outbox, effects);
}

auto ShardAuthority::OnStore(Instant now,
                             const StoreAnswered& answered,
                             ClaimOutbox& outbox,
                             Effects& effects) -> bool {
  if (read_ && *read_ == answered.token) {
    read_.reset();
    OnRead(now, answered, outbox);
    return true;
  }
  if (write_ && write_->token == answered.token) {
    OnWritten(now, answered, outbox, effects);
    return true;
  }
  return false;
}

auto ShardAuthority::OnHostLost(Instant now, Incarnation incarnation) -> void {
  for (const auto& [key, entry] : ledger_.entries) {
    if (entry.state == ClaimState::kHeld &&
        entry.request.incarnation == incarnation) {
      AddReport(now, key,
                Report{std::nullopt, entry.request, ClaimOutcome::kUnknown});
    }
  }
}

auto ShardAuthority::is_holder() const -> bool {
  const auto holder = cluster_->KeyShardHolder(shard_);
  return holder && holder->incarnation == cluster_->self().incarnation;
}

auto ShardAuthority::Confirm(Instant now) -> void {
  // What a paused host finds on waking may be old.
  confirmed_ = now - last_time_ < limits_.pause;
  hosts_then_ = cluster_->live_hosts().size();
}

auto ShardAuthority::is_sole_authority() const -> bool {
  return loaded_ && confirmed_ && is_holder() &&
         cluster_->live_hosts().size() * 2 > hosts_then_;
}

auto ShardAuthority::uncertain() const -> bool {
  return silent_at_ && *silent_at_ == version_;
}

auto ShardAuthority::StepDown() -> void {
  loaded_ = false;
  confirmed_ = false;
  version_ = 0;
  ledger_ = {};
  read_.reset();
  wanted_since_.reset();
  next_read_ = {};
  read_backoff_ = Duration(0);
  write_.reset();
  silent_at_.reset();
  pending_.clear();
  early_.clear();
  missing_executors_.clear();
  waiting_ = WaitingRoom(limits_.waiters_per_key, kWaitingKeys);
}

auto ShardAuthority::StartRead(Effects& effects) -> void {
  read_ = tokens_->Next();
  effects.Do(ReadObject{*read_, ShardPath(shard_)});
}

auto ShardAuthority::ReadFailed(Instant now) -> void {
  read_backoff_ =
      std::clamp(read_backoff_ * 2, kFirstReadBackoff, kLongestReadBackoff);
  next_read_ = now + read_backoff_;
}

auto ShardAuthority::OnRead(Instant now,
                            const StoreAnswered& answered,
                            ClaimOutbox& outbox) -> void {
  const auto* found = std::get_if<StoreFound>(&answered.result);
  if (found == nullptr) {
    ReadFailed(now);
    return;
  }
  ShardLedger ledger;
  ObjectVersion version = 0;
  if (!found->objects.empty()) {
    auto parsed = ReadShardLedger(found->objects.front().value);
    if (!parsed.ok()) {
      ReadFailed(now);
      return;
    }
    ledger = *std::move(parsed);
    version = found->objects.front().version;
  }
  if (version < version_) {
    ReadFailed(now);
    return;
  }
  read_backoff_ = Duration(0);
  loaded_ = true;
  Confirm(now);
  must_read_ = false;
  version_ = version;
  ledger_ = std::move(ledger);
  loaded_at_ = now;
  wanted_since_.reset();
  AnswerCommitted(now, outbox);
  for (const Waiter& waiter : std::exchange(early_, {})) {
    OnAsk(now, waiter.from, waiter.ask, outbox);
  }
}

auto ShardAuthority::OnWritten(Instant now,
                               const StoreAnswered& answered,
                               ClaimOutbox& outbox,
                               Effects& effects) -> void {
  Write write = std::move(*write_);
  write_.reset();
  if (const auto* written = std::get_if<StoreWritten>(&answered.result)) {
    version_ = written->version;
    Confirm(now);
    Committed(now, std::move(write), outbox);
    return;
  }
  if (std::holds_alternative<StoreSilent>(answered.result)) {
    silent_at_ = version_;
  }
  ReturnChanges(write.changes, outbox);
  must_read_ = true;
  StartRead(effects);
}

auto ShardAuthority::Committed(Instant now, Write write, ClaimOutbox& outbox)
    -> void {
  ledger_ = std::move(write.ledger);
  loaded_at_ = now;
  for (auto& [key, change] : write.changes) {
    for (const Report& report : change.reports) {
      if (report.from) {
        outbox.Send(*report.from, ClaimReportTaken{report.request});
      }
    }
    if (change.claim) {
      FinishClaim(now, key, *change.claim, outbox);
    }
  }
}

auto ShardAuthority::FinishClaim(Instant now,
                                 const KeyDigest& key,
                                 const Claim& claim,
                                 ClaimOutbox& outbox) -> void {
  const RequestId& request = claim.waiter.ask.request;
  const auto entry = Effective(key);
  if (!entry || entry->request != request ||
      entry->state != ClaimState::kHeld) {
    return;
  }
  if (now >= claim.until) {
    Refuse(claim, ClaimAnswer::kUnavailable, outbox);
    return;
  }
  Reply(claim.waiter, ClaimAnswer::kGranted, outbox);
}

auto ShardAuthority::AnswerCommitted(Instant now, ClaimOutbox& outbox) -> void {
  for (auto& [key, change] : pending_) {
    if (!change.claim) {
      continue;
    }
    const auto found = ledger_.entries.find(key);
    if (found == ledger_.entries.end() ||
        found->second.request != change.claim->waiter.ask.request) {
      continue;
    }
    const Claim claim = *std::exchange(change.claim, std::nullopt);
    FinishClaim(now, key, claim, outbox);
  }
}

auto ShardAuthority::ReturnChanges(Changes& changes, ClaimOutbox& outbox)
    -> void {
  for (auto& item : changes) {
    Change& change = item.second;
    Change& later = pending_[item.first];
    if (change.claim &&
        Names(later.reports, change.claim->waiter.ask.request)) {
      change.claim.reset();
    }
    change.reports.insert(change.reports.end(), later.reports.begin(),
                          later.reports.end());
    if (!change.claim) {
      change.claim = std::move(later.claim);
    } else if (later.claim) {
      waiting_.Add(later.claim->waiter);
      Reply(later.claim->waiter, ClaimAnswer::kWait, outbox);
    }
    later = std::move(change);
  }
}

auto ShardAuthority::Names(const std::vector<Report>& reports,
                           const RequestId& request) -> bool {
  return std::any_of(
      reports.begin(), reports.end(),
      [&request](const Report& report) { return report.request == request; });
}

auto ShardAuthority::Effective(const KeyDigest& key) const
    -> std::optional<ClaimEntry> {
  const ShardLedger& ledger = write_ ? write_->ledger : ledger_;
  const auto found = ledger.entries.find(key);
  if (found == ledger.entries.end()) {
    return std::nullopt;
  }
  ClaimEntry entry = found->second;
  const auto change = pending_.find(key);
  if (change == pending_.end()) {
    return entry;
  }
  for (const Report& report : change->second.reports) {
    if (ApplyOutcome(report.request, report.outcome, entry) ==
        ReportEffect::kFreed) {
      return std::nullopt;
    }
  }
  return entry;
}

auto ShardAuthority::ReplyTo(Instant now,
                             const Waiter& waiter,
                             const ClaimEntry& entry,
                             ClaimOutbox& outbox) -> void {
  const ClaimAnswer answer = Judge(entry, waiter.ask);
  const auto committed = ledger_.entries.find(waiter.ask.key);
  const bool is_committed = committed != ledger_.entries.end() &&
                            committed->second.request == entry.request;
  if (answer == ClaimAnswer::kGranted && !is_committed) {
    return;
  }
  if (answer == ClaimAnswer::kWait) {
    waiting_.Add(waiter);
    if (is_committed) {
      AskExecutor(now, entry, waiter.ask.key, outbox);
    }
  }
  outbox.Send(waiter.from, MakeVerdict(waiter.ask, answer, replays_));
}

auto ShardAuthority::Reply(const Waiter& waiter,
                           ClaimAnswer answer,
                           ClaimOutbox& outbox) -> void {
  outbox.Send(waiter.from, MakeVerdict(waiter.ask, answer, replays_));
}

auto ShardAuthority::Refuse(const Claim& claim,
                            ClaimAnswer answer,
                            ClaimOutbox& outbox) -> void {
  ClaimVerdict verdict = MakeVerdict(claim.waiter.ask, answer);
  verdict.report_wanted = claim.sent;
  outbox.Send(claim.waiter.from, verdict);
}

auto ShardAuthority::AskExecutor(Instant now,
                                 const ClaimEntry& entry,
                                 const KeyDigest& key,
                                 ClaimOutbox& outbox) -> void {
  const Incarnation executor = entry.request.incarnation;
  if (executor == cluster_->self().incarnation ||
      cluster_->FindIncarnation(executor)) {
    missing_executors_.erase(executor);
    AskHolder(*cluster_, entry, key, HomeBinding{}, outbox);
    return;
  }
  const Instant since =
      missing_executors_.try_emplace(executor, now).first->second;
  if (now - since < limits_.executor_search) {
    return;
  }
  missing_executors_.erase(executor);
  OnHostLost(now, executor);
}

auto ShardAuthority::AddReport(Instant now,
                               const KeyDigest& key,
                               const Report& report) -> void {
  Change& change = pending_[key];
  if (change.reports.empty() && !change.claim) {
    change.since = now;
  }
  const auto same = std::find_if(change.reports.begin(), change.reports.end(),
                                 [&report](const Report& other) {
                                   return other.request == report.request &&
                                          other.outcome == report.outcome;
                                 });
  if (same == change.reports.end()) {
    change.reports.push_back(report);
  } else if (report.from) {
    same->from = report.from;
  }
}

auto ShardAuthority::WakeWaiters(Instant now,
                                 const KeyDigest& key,
                                 ClaimOutbox& outbox) -> void {
  for (const Waiter& waiter : waiting_.Take(key)) {
    OnAsk(now, waiter.from, waiter.ask, outbox);
  }
}

auto ShardAuthority::RefuseLateClaims(Instant now, ClaimOutbox& outbox)
    -> void {
  std::vector<std::pair<KeyDigest, Claim>> late;
  const auto collect = [now, &late](Changes& changes) {
    for (auto& [key, change] : changes) {
      if (change.claim && now >= change.claim->until) {
        late.emplace_back(key, *std::exchange(change.claim, std::nullopt));
      }
    }
  };
  collect(pending_);
  if (write_) {
    collect(write_->changes);
  }
  for (const auto& [key, claim] : late) {
    const bool is_not_run =
        is_sole_authority() && now - claim.since >= limits_.longest_commit_wait;
    Refuse(claim, is_not_run ? ClaimAnswer::kUnavailable : ClaimAnswer::kUntold,
           outbox);
    WakeWaiters(now, key, outbox);
  }
  std::erase_if(pending_, [](const auto& item) {
    return item.second.reports.empty() && !item.second.claim;
  });
}

auto ShardAuthority::WriteIfDue(Instant now,
                                ClaimOutbox& outbox,
                                Effects& effects) -> void {
  if (must_read_) {
    StartRead(effects);
    return;
  }
  const bool due = std::any_of(
      pending_.begin(), pending_.end(), [this, now](const auto& item) {
        const Change& change = item.second;
        return change.claim ? now - change.claim->since >= limits_.commit_window
                            : now - change.since >= limits_.outcome_window;
      });
  if (!due || !budget_.Take(now)) {
    return;
  }
  Write write;
  write.ledger = ledger_;
  write.ledger.millisecond += static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now - loaded_at_)
          .count());
  write.ledger.DropOld(limits_);
  const bool changed = Apply(write.ledger, outbox);
  write.changes = std::exchange(pending_, {});
  if (!changed && !uncertain()) {
    write.ledger = ledger_;
    Committed(now, std::move(write), outbox);
    return;
  }
  write.token = tokens_->Next();
  effects.Do(WriteObject{write.token, ShardPath(shard_), version_,
                         WriteShardLedger(write.ledger)});
  write_ = std::move(write);
}

auto ShardAuthority::Apply(ShardLedger& ledger, ClaimOutbox& outbox) -> bool {
  bool changed = false;
  for (auto& [key, change] : pending_) {
    const auto found = ledger.entries.find(key);
    for (const Report& report : change.reports) {
      if (found == ledger.entries.end() ||
          found->second.request != report.request) {
        // The ledger may be an old one: the write shows it.
        changed = changed || report.outcome != ClaimOutcome::kNotRun;
        continue;
      }
      const ReportEffect effect =
          ApplyOutcome(report.request, report.outcome, found->second);
      changed = changed || effect != ReportEffect::kNothing;
      if (effect == ReportEffect::kFreed) {
        ledger.entries.erase(found);
        break;
      }
    }
    if (change.claim && ApplyClaim(key, change, ledger, outbox)) {
      changed = true;
    }
  }
  return changed;
}

auto ShardAuthority::ApplyClaim(const KeyDigest& key,
                                Change& change,
                                ShardLedger& ledger,
                                ClaimOutbox& outbox) -> bool {
  Claim& claim = *change.claim;
  const ClaimAsk& ask = claim.waiter.ask;
  const auto found = ledger.entries.find(key);
  if (found != ledger.entries.end()) {
    if (found->second.request != ask.request) {
      Reply(claim.waiter, Judge(found->second, ask), outbox);
      change.claim.reset();
    }
    return false;
  }
  if (ledger.entries.size() >= limits_.keys_per_shard) {
    Reply(claim.waiter, ClaimAnswer::kUntold, outbox);
    change.claim.reset();
    return false;
  }
  claim.sent = true;
  ledger.entries.emplace(key, ClaimEntry{ClaimState::kHeld, ask.request,
                                         ask.body_hash, ledger.millisecond});
  return true;
}

}  // namespace zinniastep
