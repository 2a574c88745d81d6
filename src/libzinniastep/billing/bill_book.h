#ifndef LIBZINNIASTEP_BILLING_BILL_BOOK_H_
#define LIBZINNIASTEP_BILLING_BILL_BOOK_H_

#include <cstddef>
#include <cstdint>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/billing/bill.h"
#include "libzinniastep/billing/bill_limits.h"
#include "libzinniastep/billing/ledger_sealer.h"
#include "libzinniastep/billing/messages.h"
#include "libzinniastep/billing/own_ledger.h"
#include "libzinniastep/billing/witness_tails.h"
#include "libzinniastep/core/cluster_view.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/core/store_tokens.h"

namespace zinniastep {

// One host's part in the bills: it records those of its requests, keeps copies
// of other hosts' latest ones as their witness, and seals the ledgers of lost
// processes.
class BillBook {
 public:
  explicit BillBook(const ClusterView& cluster, BillLimits limits = {});
  BillBook(const BillBook&) = delete;
  auto operator=(const BillBook&) -> BillBook& = delete;

  // Takes one request's bill. A BillSecured notice follows when another host
  // or the object API keeps it, or when that did not come about in time. A
  // request that is recorded already gets only the notice.
  auto Record(Instant now, const Bill& bill, Effects& effects) -> void;

  // Writes what is not yet in the ledger now, for a graceful shutdown.
  auto Flush(Instant now, Effects& effects) -> void;

  // Returns how many bills are not in the ledger yet; a graceful shutdown
  // waits for zero, within its limit.
  [[nodiscard]] auto unflushed() const -> std::size_t;

  // Returns how many bills were let go while no other host and no object kept
  // them.
  [[nodiscard]] auto exposed() const -> std::uint64_t;

  auto OnTime(Instant now, Effects& effects) -> void;
  auto OnMessage(Instant now,
                 const PeerRef& from,
                 const BillingMessage& message,
                 Effects& effects) -> void;
  auto OnStore(Instant now, const StoreAnswered& answered, Effects& effects)
      -> void;
  // Another process is lost: its witnesses hand its tail to the successor.
  auto OnHostLost(Instant now, Incarnation incarnation, Effects& effects)
      -> void;

 private:
  // Passes tails and seals between this host's own parts.
  auto Settle(Instant now) -> void;

  const ClusterView* cluster_;
  StoreTokens tokens_{StoreUser::kBilling};
  OwnLedger own_;
  WitnessTails tails_;
  LedgerSealer sealer_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_BILLING_BILL_BOOK_H_
