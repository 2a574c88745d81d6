#include "libzinniastep/billing/bill_copier.h"

#include <algorithm>
#include <utility>

namespace zinniastep {

namespace {

constexpr Duration kOrderLifetime = std::chrono::seconds(1);

}  // namespace

BillCopier::BillCopier(const ClusterView& cluster, const BillLimits& limits)
    : cluster_(&cluster), limits_(limits) {}

auto BillCopier::Copy(Instant now,
                      const LedgerId& ledger,
                      std::uint64_t mark,
                      const NumberedBill& bill,
                      bool wants_notice,
                      Effects& effects) -> void {
  Open open;
  open.ledger = ledger;
  open.bill = bill;
  open.wants_notice = wants_notice;
  open.since = now;
  Open& added =
      open_.insert_or_assign(bill.number, std::move(open)).first->second;
  Ask(now, mark, added, effects);
}

auto BillCopier::OnCopied(const PeerRef& from,
                          const BillCopied& copied,
                          Effects& effects) -> void {
  const auto found = open_.find(copied.number);
  if (found == open_.end() || found->second.ledger != copied.ledger) {
    return;
  }
  Open& open = found->second;
  open.kept.insert(from.host);
  if (open.kept.size() >= order_.wanted) {
    TellSecured(open, effects);
    open_.erase(found);
  }
}

auto BillCopier::OnTime(Instant now, std::uint64_t mark, Effects& effects)
    -> bool {
  // The time of a pause does not count: nothing was tried in it.
  const Duration since_last = now - last_time_;
  const Duration paused =
      since_last > limits_.witness_patience ? since_last : Duration(0);
  last_time_ = now;
  bool needs_store = false;
  for (auto item = open_.begin(); item != open_.end();) {
    Open& open = item->second;
    open.since = std::min(now, open.since + paused);
    const Duration age = now - open.since;
    const bool one_is_enough =
        !open.kept.empty() && age >= limits_.one_witness_patience;
    const bool too_long = age >= limits_.longest_secure_wait;
    if (one_is_enough || too_long) {
      if (open.kept.empty()) {
        ++exposed_;
        effects.Log("bill_exposed",
                    {{"request", ToString(open.bill.bill.request)}});
      }
      TellSecured(open, effects);
      item = open_.erase(item);
      continue;
    }
    if (now >= open.next_try) {
      Ask(now, mark, open, effects);
    }
    needs_store = needs_store ||
                  (open.kept.empty() &&
                   (order_.wanted == 0 || age >= limits_.one_witness_patience));
    ++item;
  }
  return needs_store;
}

auto BillCopier::OnFlushed(const LedgerId& ledger,
                           std::uint64_t mark,
                           Effects& effects) -> void {
  while (!open_.empty() && open_.begin()->first <= mark) {
    TellSecured(open_.begin()->second, effects);
    open_.erase(open_.begin());
  }
  TellWitnesses(TrimBills{ledger, mark, false}, effects);
}

auto BillCopier::OnClosed(const Ledger& closed, Effects& effects)
    -> std::set<std::uint64_t> {
  std::set<std::uint64_t> wanted;
  for (const auto& [number, open] : open_) {
    if (closed.Holds(number)) {
      TellSecured(open, effects);
    } else if (open.wants_notice) {
      wanted.insert(number);
    }
  }
  open_.clear();
  TellWitnesses(TrimBills{closed.id, closed.mark, true}, effects);
  witnesses_.clear();
  return wanted;
}

auto BillCopier::ReplaceWitness(Instant now, Incarnation incarnation)
    -> std::vector<HostId> {
  const auto erased =
      std::erase_if(witnesses_, [incarnation](const auto& witness) {
        return witness.second == incarnation;
      });
  std::vector<HostId> fresh;
  if (erased == 0) {
    return fresh;
  }
  order_until_ = now;
  RefreshOrder(now);
  for (const HostIdentity& host : order_.hosts) {
    if (witnesses_.size() >= order_.wanted) {
      break;
    }
    if (!witnesses_.contains(host.host)) {
      AddWitness(host);
      fresh.push_back(host.host);
    }
  }
  return fresh;
}

auto BillCopier::Fold(const FoldBills& fold, Effects& effects) -> void {
  TellWitnesses(fold, effects);
}

auto BillCopier::IsOpen(const RequestId& request) const -> bool {
  return std::any_of(open_.begin(), open_.end(), [&request](const auto& item) {
    return item.second.bill.bill.request == request;
  });
}

auto BillCopier::first_open() const -> std::uint64_t {
  return open_.empty() ? 0 : open_.begin()->first;
}

auto BillCopier::RefreshOrder(Instant now) -> void {
  if (now < order_until_) {
    return;
  }
  order_ = OrderWitnesses(*cluster_);
  order_until_ = now + kOrderLifetime;
}

auto BillCopier::AddWitness(const HostIdentity& host) -> void {
  witnesses_.insert_or_assign(host.host, host.incarnation);
}

auto BillCopier::Ask(Instant now,
                     std::uint64_t mark,
                     Open& open,
                     Effects& effects) -> void {
  RefreshOrder(now);
  open.next_try = now + limits_.witness_patience;
  const std::size_t wanted =
      open.asked.empty() ? order_.wanted : open.asked.size() + 1;
  for (const HostIdentity& host : order_.hosts) {
    if (open.asked.size() >= wanted) {
      break;
    }
    if (open.asked.insert(host.host).second) {
      AddWitness(host);
    }
  }
  for (const HostId& host : open.asked) {
    if (open.kept.contains(host)) {
      continue;
    }
    effects.Do(SendToPeer{
        host, "",
        PeerMessage(BillingMessage(CopyBill{open.ledger, mark, open.bill}))});
  }
}

auto BillCopier::TellSecured(const Open& open, Effects& effects) -> void {
  if (open.wants_notice) {
    effects.Tell(BillSecured{open.bill.bill.request});
  }
}

auto BillCopier::TellWitnesses(const BillingMessage& message, Effects& effects)
    -> void {
  for (const auto& [host, incarnation] : witnesses_) {
    effects.Do(SendToPeer{host, "", PeerMessage(message)});
  }
}

}  // namespace zinniastep
