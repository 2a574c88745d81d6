#include "libzinniastep/billing/own_ledger.h"

#include <algorithm>
#include <utility>

namespace zinniastep {

namespace {

// Recorded requests that are remembered, so that none is billed twice.
constexpr std::size_t kRecentRequests = 8192;

}  // namespace

OwnLedger::OwnLedger(const ClusterView& cluster,
                     const BillLimits& limits,
                     StoreTokens& tokens)
    : cluster_(&cluster),
      limits_(limits),
      tokens_(&tokens),
      copier_(cluster, limits) {
  ledger_.id.incarnation = cluster.self().incarnation;
  ledger_.host = cluster.self().host;
}

auto OwnLedger::Record(Instant now, const Bill& bill, Effects& effects)
    -> void {
  if (!Remember(bill.request)) {
    effects.Tell(BillSecured{bill.request});
    return;
  }
  Append(now, bill, true, effects);
  FoldTail(effects);
}

auto OwnLedger::Flush(Instant now, Effects& effects) -> void {
  flush_now_ = true;
  OnTime(now, effects);
}

auto OwnLedger::OnTime(Instant now, Effects& effects) -> void {
  flush_now_ |= copier_.OnTime(now, ledger_.mark, effects);
  if (write_) {
    if (write_->token == 0 && now >= write_->next_try) {
      SendReadBack(effects);
    }
    return;
  }
  if (unflushed() == 0) {
    flush_now_ = false;
    return;
  }
  if (flush_now_ || now - last_flush_ >= FlushPeriod()) {
    last_flush_ = now;
    StartWrite(effects);
  }
}

auto OwnLedger::OnCopied(const PeerRef& from,
                         const BillCopied& copied,
                         Effects& effects) -> void {
  copier_.OnCopied(from, copied, effects);
}

auto OwnLedger::OnHostLost(Instant now,
                           Incarnation incarnation,
                           Effects& effects) -> void {
  for (const HostId& host : copier_.ReplaceWitness(now, incarnation)) {
    for (const FoldedBills& folded : folded_) {
      effects.Do(SendToPeer{host, "",
                            PeerMessage(BillingMessage(
                                FoldBills{ledger_.id, ledger_.mark, folded}))});
    }
    for (const NumberedBill& bill : tail_) {
      effects.Do(SendToPeer{host, "",
                            PeerMessage(BillingMessage(
                                CopyBill{ledger_.id, ledger_.mark, bill}))});
    }
  }
}

auto OwnLedger::OnStore(Instant now,
                        const StoreAnswered& answered,
                        Effects& effects) -> bool {
  if (!write_ || write_->token == 0 || write_->token != answered.token) {
    return false;
  }
  write_->token = 0;
  if (const auto* found = std::get_if<StoreFound>(&answered.result)) {
    OnReadBack(now, *found, effects);
  } else if (const auto* done = std::get_if<StoreWritten>(&answered.result)) {
    WriteDone(now, done->version, effects);
  } else if (std::holds_alternative<StoreConflict>(answered.result)) {
    SendReadBack(effects);
  } else {
    RetryLater(now);
  }
  return true;
}

auto OwnLedger::unflushed() const -> std::size_t {
  std::size_t count = tail_.size();
  for (const FoldedBills& folded : folded_) {
    count += folded.range.last - folded.range.first + 1;
  }
  return count;
}

auto OwnLedger::Append(Instant now,
                       const Bill& bill,
                       bool wants_notice,
                       Effects& effects) -> void {
  tail_.push_back({next_number_++, bill});
  copier_.Copy(now, ledger_.id, ledger_.mark, tail_.back(), wants_notice,
               effects);
}

auto OwnLedger::Remember(const RequestId& request) -> bool {
  if (!recent_.insert(request).second) {
    return false;
  }
  recent_order_.push_back(request);
  if (recent_order_.size() > kRecentRequests) {
    recent_.erase(recent_order_.front());
    recent_order_.pop_front();
  }
  return true;
}

auto OwnLedger::StartWrite(Effects& effects) -> void {
  Write write;
  write.ledger = ledger_;
  write.ledger.mark = next_number_ - 1;
  for (const FoldedBills& folded : folded_) {
    write.ledger.totals.Add(folded.totals);
  }
  for (const NumberedBill& numbered : tail_) {
    write.ledger.totals.Add(numbered.bill);
  }
  if (write.ledger.totals.lines().size() >= limits_.ledger_lines) {
    write.ledger.sealed = true;
    write.ledger.sealed_by = ledger_.id.incarnation;
  }
  write_ = std::move(write);
  SendWrite(effects);
}

auto OwnLedger::SendWrite(Effects& effects) -> void {
  write_->token = tokens_->Next();
  write_->reading = false;
  effects.Do(WriteObject{write_->token, LedgerPath(ledger_.id), version_,
                         WriteLedger(write_->ledger)});
}

auto OwnLedger::SendReadBack(Effects& effects) -> void {
  write_->token = tokens_->Next();
  write_->reading = true;
  effects.Do(ReadObject{write_->token, LedgerPath(ledger_.id)});
}

auto OwnLedger::WriteDone(Instant now, ObjectVersion version, Effects& effects)
    -> void {
  ledger_ = std::move(write_->ledger);
  write_.reset();
  version_ = version;
  flush_now_ = false;
  const std::uint64_t mark = ledger_.mark;
  std::erase_if(folded_, [mark](const FoldedBills& folded) {
    return folded.range.last <= mark;
  });
  while (!tail_.empty() && tail_.front().number <= mark) {
    tail_.pop_front();
  }
  if (ledger_.sealed) {
    const Ledger closed = std::move(ledger_);
    BeginNext(now, closed, effects);
    return;
  }
  copier_.OnFlushed(ledger_.id, mark, effects);
}

auto OwnLedger::OnReadBack(Instant now,
                           const StoreFound& found,
                           Effects& effects) -> void {
  const ObjectVersion version =
      found.objects.empty() ? 0 : found.objects.front().version;
  if (version == version_) {
    SendWrite(effects);
    return;
  }
  if (version < version_) {
    RetryLater(now);
    return;
  }
  auto stored = ReadLedger(found.objects.front().value);
  if (!stored.ok()) {
    effects.Log("ledger_malformed",
                {{"ledger", LedgerPath(ledger_.id).text()}});
    RetryLater(now);
    return;
  }
  if (stored->sealed && stored->sealed_by != ledger_.id.incarnation) {
    effects.Log("ledger_found_sealed",
                {{"ledger", LedgerPath(ledger_.id).text()}});
    write_.reset();
    BeginNext(now, *stored, effects);
    return;
  }
  WriteDone(now, version, effects);
}

auto OwnLedger::RetryLater(Instant now) -> void {
  write_->backoff = std::clamp(write_->backoff * 2, limits_.first_retry,
                               limits_.longest_retry);
  write_->next_try = now + write_->backoff;
}

auto OwnLedger::BeginNext(Instant now, const Ledger& closed, Effects& effects)
    -> void {
  const std::set<std::uint64_t> wanted = copier_.OnClosed(closed, effects);
  Ledger next;
  next.id = {closed.id.incarnation, closed.id.part + 1};
  next.host = cluster_->self().host;
  ledger_ = std::move(next);
  version_ = 0;
  next_number_ = 1;
  for (FoldedBills& folded : std::exchange(folded_, {})) {
    if (!closed.Holds(folded.range.last)) {
      folded.range = {next_number_, next_number_};
      ++next_number_;
      folded_.push_back(std::move(folded));
    }
  }
  for (const NumberedBill& numbered : std::exchange(tail_, {})) {
    if (!closed.Holds(numbered.number)) {
      Append(now, numbered.bill, wanted.contains(numbered.number), effects);
    }
  }
  for (const FoldedBills& folded : folded_) {
    copier_.Fold(FoldBills{ledger_.id, 0, folded}, effects);
  }
}

auto OwnLedger::FoldTail(Effects& effects) -> void {
  if (tail_.size() < limits_.fold_bills) {
    return;
  }
  const std::uint64_t open = copier_.first_open();
  const std::uint64_t last = open == 0 ? tail_.back().number : open - 1;
  if (write_ && write_->ledger.mark < last) {
    FoldUpTo(write_->ledger.mark, effects);
  }
  FoldUpTo(last, effects);
}

auto OwnLedger::FoldUpTo(std::uint64_t last, Effects& effects) -> void {
  if (tail_.empty() || tail_.front().number > last) {
    return;
  }
  const std::uint64_t write_mark = write_ ? write_->ledger.mark : ledger_.mark;
  FoldedBills sum;
  sum.range = {tail_.front().number, last};
  if (!folded_.empty() && folded_.back().range.last != write_mark) {
    sum = std::move(folded_.back());
    folded_.pop_back();
    sum.range.last = last;
  }
  while (!tail_.empty() && tail_.front().number <= last) {
    sum.totals.Add(tail_.front().bill);
    tail_.pop_front();
  }
  folded_.push_back(std::move(sum));
  copier_.Fold(FoldBills{ledger_.id, ledger_.mark, folded_.back()}, effects);
}

auto OwnLedger::FlushPeriod() const -> Duration {
  const double seconds = static_cast<double>(cluster_->live_hosts().size()) /
                         limits_.fleet_writes_per_second;
  const auto scaled = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
  return std::max(limits_.shortest_flush_period, scaled);
}

}  // namespace zinniastep
