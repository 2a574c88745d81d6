#include "libzinniastep/billing/ledger_sealer.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "libzinniastep/billing/witness_tails.h"

namespace zinniastep {

namespace {

// Adds one number to sorted ranges.
auto AddNumber(std::uint64_t number, std::vector<BillRange>& ranges) -> void {
  if (!ranges.empty() && ranges.back().last + 1 == number) {
    ranges.back().last = number;
  } else {
    ranges.push_back({number, number});
  }
}

}  // namespace

LedgerSealer::LedgerSealer(const ClusterView& cluster,
                           const BillLimits& limits,
                           StoreTokens& tokens)
    : cluster_(&cluster), limits_(limits), tokens_(&tokens) {}

auto LedgerSealer::OnTail(Instant now,
                          const PeerRef& from,
                          const HandTail& tail) -> void {
  if (cluster_->FindIncarnation(tail.ledger.incarnation)) {
    return;
  }
  Job& job = JobFor(now, tail.ledger);
  job.witnesses.insert(from.host);
  if (job.writing) {
    return;
  }
  for (const FoldedBills& folded : tail.folded) {
    job.folded.emplace(folded.range, folded.totals);
  }
  for (const NumberedBill& bill : tail.bills) {
    job.bills.emplace(bill.number, bill.bill);
  }
}

auto LedgerSealer::OnHostLost(Instant now, Incarnation incarnation) -> void {
  const auto successor = SuccessorOf(*cluster_, incarnation);
  if (successor && successor->incarnation == cluster_->self().incarnation) {
    JobFor(now, LedgerId{incarnation, 0});
  }
}

auto LedgerSealer::OnTime(Instant now, Effects& effects) -> void {
  for (auto job = jobs_.begin(); job != jobs_.end();) {
    const bool is_idle = job->second.token == 0;
    if (cluster_->FindIncarnation(job->first.incarnation) ||
        (is_idle && !IsSuccessor(job->first, job->second))) {
      job = jobs_.erase(job);
      continue;
    }
    if (is_idle && now >= job->second.seal_at) {
      StartRead(job->first, job->second, effects);
    }
    ++job;
  }
  LookForOrphans(now, effects);
}

auto LedgerSealer::OnStore(Instant now,
                           const StoreAnswered& answered,
                           Effects& effects) -> bool {
  if (listing_ && *listing_ == answered.token) {
    listing_.reset();
    if (const auto* found = std::get_if<StoreFound>(&answered.result)) {
      OnOrphanList(now, *found);
    }
    return true;
  }
  const auto item = std::find_if(
      jobs_.begin(), jobs_.end(), [&answered](const auto& candidate) {
        return candidate.second.token == answered.token;
      });
  if (item == jobs_.end()) {
    return false;
  }
  const LedgerId id = item->first;
  Job& job = item->second;
  job.token = 0;
  const bool wrote = std::exchange(job.writing, false);
  if (const auto* found = std::get_if<StoreFound>(&answered.result)) {
    OnLedgerRead(now, id, *found, effects);
  } else if (wrote && std::holds_alternative<StoreWritten>(answered.result)) {
    effects.Log("ledger_sealed", {{"ledger", LedgerPath(id).text()}});
    Done(id, effects);
  } else {
    RetryLater(now, job);
  }
  return true;
}

auto LedgerSealer::JobFor(Instant now, const LedgerId& id) -> Job& {
  const auto [item, added] = jobs_.try_emplace(id);
  if (added) {
    item->second.seal_at = now + limits_.gather_time;
  }
  return item->second;
}

auto LedgerSealer::IsSuccessor(const LedgerId& id, const Job& job) const
    -> bool {
  const auto successor = SuccessorOf(*cluster_, id.incarnation);
  return job.orphan ||
         (successor && successor->incarnation == cluster_->self().incarnation);
}

auto LedgerSealer::StartRead(const LedgerId& id, Job& job, Effects& effects)
    -> void {
  job.token = tokens_->Next();
  effects.Do(ReadObject{job.token, LedgerPath(id)});
}

auto LedgerSealer::OnLedgerRead(Instant now,
                                const LedgerId& id,
                                const StoreFound& found,
                                Effects& effects) -> void {
  Job& job = jobs_.at(id);
  const bool has_tail = !job.bills.empty() || !job.folded.empty();
  if (found.objects.empty()) {
    if (!has_tail) {
      Done(id, effects);
      return;
    }
    Ledger empty;
    empty.id = id;
    Seal(id, 0, std::move(empty), effects);
    return;
  }
  const StoredObject& object = found.objects.front();
  auto ledger = ReadLedger(object.value);
  if (!ledger.ok()) {
    effects.Log("ledger_malformed", {{"ledger", object.path.text()}});
    RetryLater(now, job);
    return;
  }
  if (!ledger->sealed) {
    Seal(id, object.version, *std::move(ledger), effects);
    return;
  }
  if (ledger->sealed_by == id.incarnation) {
    CarryOver(now, id, ledger->mark);
  } else {
    LogMissed(id, job, *ledger, effects);
    JobFor(now, LedgerId{id.incarnation, id.part + 1});
  }
  Done(id, effects);
}

auto LedgerSealer::CarryOver(Instant now,
                             const LedgerId& id,
                             std::uint64_t mark) -> void {
  Job& next = JobFor(now, LedgerId{id.incarnation, id.part + 1});
  const Job& job = jobs_.at(id);
  next.orphan = next.orphan || job.orphan;
  if (next.writing) {
    return;
  }
  for (const auto& [range, totals] : job.folded) {
    if (range.first > mark) {
      next.folded.emplace(BillRange{range.first - mark, range.last - mark},
                          totals);
    }
  }
  for (const auto& [number, bill] : job.bills) {
    if (number > mark) {
      next.bills.emplace(number - mark, bill);
    }
  }
}

auto LedgerSealer::Seal(const LedgerId& id,
                        ObjectVersion version,
                        Ledger ledger,
                        Effects& effects) -> void {
  Job& job = jobs_.at(id);
  std::uint64_t position = ledger.mark;
  for (auto item = job.folded.begin(); item != job.folded.end(); ++item) {
    const auto next = std::next(item);
    const bool longer_follows =
        next != job.folded.end() && next->first.first == item->first.first;
    if (item->first.first <= position || longer_follows) {
      continue;
    }
    ledger.taken.push_back(item->first);
    ledger.taken_totals.Add(item->second);
    position = item->first.last;
  }
  std::vector<BillRange> singles;
  for (const auto& [number, bill] : job.bills) {
    if (!ledger.Holds(number)) {
      ledger.taken_totals.Add(bill);
      AddNumber(number, singles);
    }
  }
  ledger.taken.insert(ledger.taken.end(), singles.begin(), singles.end());
  ledger.totals.Add(ledger.taken_totals);
  ledger.sealed = true;
  ledger.sealed_by = cluster_->self().incarnation;
  job.token = tokens_->Next();
  job.writing = true;
  effects.Do(
      WriteObject{job.token, LedgerPath(id), version, WriteLedger(ledger)});
}

auto LedgerSealer::LogMissed(const LedgerId& id,
                             const Job& job,
                             const Ledger& ledger,
                             Effects& effects) -> void {
  std::size_t missed = 0;
  for (const auto& [number, bill] : job.bills) {
    missed += ledger.Holds(number) ? 0 : 1;
  }
  if (missed > 0) {
    effects.Log("bills_after_seal", {{"ledger", LedgerPath(id).text()},
                                     {"bills", std::to_string(missed)}});
  }
}

auto LedgerSealer::Done(const LedgerId& id, Effects& effects) -> void {
  sealed_.push_back(id);
  for (const HostId& witness : jobs_.at(id).witnesses) {
    if (witness == cluster_->self().host) {
      continue;
    }
    effects.Do(
        SendToPeer{witness, "", PeerMessage(BillingMessage(TailSealed{id}))});
  }
  jobs_.erase(id);
}

auto LedgerSealer::RetryLater(Instant now, Job& job) -> void {
  job.backoff =
      std::clamp(job.backoff * 2, limits_.first_retry, limits_.longest_retry);
  job.seal_at = now + job.backoff;
}

auto LedgerSealer::LookForOrphans(Instant now, Effects& effects) -> void {
  if (!next_listing_) {
    next_listing_ = now + limits_.orphan_period;
  }
  if (now < *next_listing_ || listing_) {
    return;
  }
  next_listing_ = now + limits_.orphan_period;
  const auto& hosts = cluster_->live_hosts();
  if (hosts.empty() || hosts.front().host != cluster_->self().host) {
    suspects_.clear();
    return;
  }
  listing_ = tokens_->Next();
  effects.Do(ListObjects{*listing_, ObjectPath("bills/")});
}

auto LedgerSealer::OnOrphanList(Instant now, const StoreFound& found) -> void {
  std::set<LedgerId> orphans;
  for (const StoredObject& object : found.objects) {
    const auto ledger = ReadLedger(object.value);
    if (!ledger.ok() || ledger->sealed ||
        ledger->id.incarnation == cluster_->self().incarnation ||
        cluster_->FindIncarnation(ledger->id.incarnation)) {
      continue;
    }
    if (suspects_.contains(ledger->id)) {
      JobFor(now, ledger->id).orphan = true;
    } else {
      orphans.insert(ledger->id);
    }
  }
  suspects_ = std::move(orphans);
}

}  // namespace zinniastep
