#include "libzinniastep/billing/bill_book.h"

#include <variant>

#include "libzinniastep/base/overloaded.h"

namespace zinniastep {

BillBook::BillBook(const ClusterView& cluster, BillLimits limits)
    : cluster_(&cluster),
      own_(cluster, limits, tokens_),
      tails_(cluster, limits),
      sealer_(cluster, limits, tokens_) {}

auto BillBook::Record(Instant now, const Bill& bill, Effects& effects) -> void {
  own_.Record(now, bill, effects);
}

auto BillBook::Flush(Instant now, Effects& effects) -> void {
  own_.Flush(now, effects);
}

auto BillBook::unflushed() const -> std::size_t {
  return own_.unflushed();
}

auto BillBook::exposed() const -> std::uint64_t {
  return own_.exposed();
}

auto BillBook::OnTime(Instant now, Effects& effects) -> void {
  own_.OnTime(now, effects);
  tails_.OnTime(now, effects);
  sealer_.OnTime(now, effects);
  Settle(now);
}

auto BillBook::OnMessage(Instant now,
                         const PeerRef& from,
                         const BillingMessage& message,
                         Effects& effects) -> void {
  std::visit(Overloaded{
                 [](const std::monostate&) {},
                 [&](const CopyBill& copy) {
                   tails_.OnCopy(now, from, copy, effects);
                 },
                 [&](const BillCopied& copied) {
                   own_.OnCopied(from, copied, effects);
                 },
                 [&](const FoldBills& fold) { tails_.OnFold(now, fold); },
                 [&](const TrimBills& trim) { tails_.OnTrim(trim); },
                 [&](const HandTail& tail) { sealer_.OnTail(now, from, tail); },
                 [&](const TailSealed& sealed) { tails_.OnSealed(sealed); },
             },
             message);
  Settle(now);
}

auto BillBook::OnStore(Instant now,
                       const StoreAnswered& answered,
                       Effects& effects) -> void {
  if (!own_.OnStore(now, answered, effects)) {
    sealer_.OnStore(now, answered, effects);
  }
  Settle(now);
}

auto BillBook::OnHostLost(Instant now,
                          Incarnation incarnation,
                          Effects& effects) -> void {
  own_.OnHostLost(now, incarnation, effects);
  tails_.OnHostLost(now, incarnation, effects);
  sealer_.OnHostLost(now, incarnation);
  Settle(now);
}

auto BillBook::Settle(Instant now) -> void {
  const HostIdentity& self = cluster_->self();
  const PeerRef from{self.host, self.incarnation, self.peer_address};
  for (const HandTail& tail : tails_.TakeOwn()) {
    sealer_.OnTail(now, from, tail);
  }
  for (const LedgerId& ledger : sealer_.TakeSealed()) {
    tails_.OnSealed(TailSealed{ledger});
  }
}

}  // namespace zinniastep
