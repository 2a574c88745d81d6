#include "libzinniastep/billing/witness_tails.h"

#include <utility>

#include "libzinniastep/base/hash.h"

namespace zinniastep {

auto SuccessorOf(const ClusterView& cluster, Incarnation incarnation)
    -> std::optional<HostIdentity> {
  const HostIdentity* best = nullptr;
  std::uint64_t best_score = 0;
  for (const HostIdentity& host : cluster.live_hosts()) {
    if (host.incarnation == incarnation) {
      continue;
    }
    const std::uint64_t score = StableHash(host.host.text(), incarnation);
    if (best == nullptr || score < best_score) {
      best = &host;
      best_score = score;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(*best);
}

WitnessTails::WitnessTails(const ClusterView& cluster, const BillLimits& limits)
    : cluster_(&cluster), limits_(limits) {}

auto WitnessTails::OnCopy(Instant now,
                          const PeerRef& from,
                          const CopyBill& copy,
                          Effects& effects) -> void {
  if (closed_.contains(copy.ledger)) {
    effects.Do(
        SendToPeer{from.host, from.address,
                   PeerMessage(BillingMessage(TailSealed{copy.ledger}))});
    return;
  }
  Tail& tail = tails_[copy.ledger];
  tail.heard = now;
  TrimTo(copy.mark, tail);
  const std::uint64_t number = copy.bill.number;
  bool is_folded = number <= tail.mark;
  for (const auto& [range, totals] : tail.folded) {
    is_folded = is_folded || (range.first <= number && number <= range.last);
  }
  if (!is_folded) {
    tail.bills.emplace(number, copy.bill.bill);
  }
  effects.Do(
      SendToPeer{from.host, from.address,
                 PeerMessage(BillingMessage(BillCopied{copy.ledger, number}))});
}

auto WitnessTails::OnFold(Instant now, const FoldBills& fold) -> void {
  if (closed_.contains(fold.ledger)) {
    return;
  }
  Tail& tail = tails_[fold.ledger];
  tail.heard = now;
  TrimTo(fold.mark, tail);
  const BillRange& range = fold.folded.range;
  if (range.last <= tail.mark) {
    return;
  }
  for (const auto& [other, totals] : tail.folded) {
    if (other.first <= range.first && range.last <= other.last) {
      return;
    }
  }
  std::erase_if(tail.folded, [&range](const auto& item) {
    return range.first <= item.first.first && item.first.last <= range.last;
  });
  tail.bills.erase(tail.bills.lower_bound(range.first),
                   tail.bills.upper_bound(range.last));
  tail.folded.emplace(range, fold.folded.totals);
}

auto WitnessTails::OnTrim(const TrimBills& trim) -> void {
  if (trim.closed) {
    Close(trim.ledger);
    return;
  }
  if (const auto found = tails_.find(trim.ledger); found != tails_.end()) {
    TrimTo(trim.mark, found->second);
  }
}

auto WitnessTails::OnSealed(const TailSealed& sealed) -> void {
  Close(sealed.ledger);
}

auto WitnessTails::OnHostLost(Instant now,
                              Incarnation incarnation,
                              Effects& effects) -> void {
  for (auto& [id, tail] : tails_) {
    if (id.incarnation == incarnation) {
      Hand(now, id, tail, effects);
    }
  }
}

auto WitnessTails::OnTime(Instant now, Effects& effects) -> void {
  for (auto& [id, tail] : tails_) {
    if (!tail.next_hand || now < *tail.next_hand) {
      continue;
    }
    if (cluster_->FindIncarnation(id.incarnation)) {
      tail.next_hand.reset();
    } else {
      Hand(now, id, tail, effects);
    }
  }
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + kSweepPeriod;
  for (auto& [id, tail] : tails_) {
    if (!tail.next_hand && !cluster_->FindIncarnation(id.incarnation)) {
      Hand(now, id, tail, effects);
    }
  }
  std::erase_if(tails_, [this, now, &effects](const auto& item) {
    const Tail& tail = item.second;
    const bool over = now - tail.heard > limits_.tail_retention;
    if (over && !(tail.bills.empty() && tail.folded.empty())) {
      effects.Log("bill_tail_dropped",
                  {{"ledger", LedgerPath(item.first).text()},
                   {"bills", std::to_string(tail.bills.size())}});
    }
    return over;
  });
}

auto WitnessTails::TailOf(const LedgerId& ledger) const
    -> std::optional<HandTail> {
  const auto found = tails_.find(ledger);
  if (found == tails_.end()) {
    return std::nullopt;
  }
  HandTail tail;
  tail.ledger = ledger;
  for (const auto& [range, totals] : found->second.folded) {
    tail.folded.push_back({range, totals});
  }
  for (const auto& [number, bill] : found->second.bills) {
    tail.bills.push_back({number, bill});
  }
  return tail;
}

auto WitnessTails::TrimTo(std::uint64_t mark, Tail& tail) -> void {
  if (mark <= tail.mark) {
    return;
  }
  tail.mark = mark;
  tail.bills.erase(tail.bills.begin(), tail.bills.upper_bound(mark));
  std::erase_if(tail.folded,
                [mark](const auto& item) { return item.first.last <= mark; });
}

auto WitnessTails::Close(const LedgerId& ledger) -> void {
  tails_.erase(ledger);
  if (!closed_.insert(ledger).second) {
    return;
  }
  closed_order_.push_back(ledger);
  if (closed_order_.size() > kClosedKept) {
    closed_.erase(closed_order_.front());
    closed_order_.pop_front();
  }
}

auto WitnessTails::Hand(Instant now,
                        const LedgerId& id,
                        Tail& tail,
                        Effects& effects) -> void {
  tail.next_hand = now + limits_.tail_resend;
  const auto successor = SuccessorOf(*cluster_, id.incarnation);
  const auto handed = TailOf(id);
  if (!successor || !handed) {
    return;
  }
  if (successor->incarnation == cluster_->self().incarnation) {
    own_.push_back(*handed);
    return;
  }
  effects.Do(SendToPeer{successor->host, successor->peer_address,
                        PeerMessage(BillingMessage(*handed))});
}

}  // namespace zinniastep
