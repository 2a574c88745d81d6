#ifndef LIBZINNIASTEP_BILLING_OWN_LEDGER_H_
#define LIBZINNIASTEP_BILLING_OWN_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/billing/bill.h"
#include "libzinniastep/billing/bill_copier.h"
#include "libzinniastep/billing/bill_limits.h"
#include "libzinniastep/billing/ledger.h"
#include "libzinniastep/billing/messages.h"
#include "libzinniastep/core/cluster_view.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/core/store_tokens.h"

namespace zinniastep {

// This process's bills: copies each to witnesses, writes their sums into its
// ledger object, and begins a new ledger when the old one was sealed or is
// full.
//
// A write covers all bills up to a number, the mark. A write without an answer
// is repeated unchanged until it is settled, so at any time there are at most
// two marks that the object can have; bills are folded only between them.
class OwnLedger {
 public:
  OwnLedger(const ClusterView& cluster,
            const BillLimits& limits,
            StoreTokens& tokens);

  auto Record(Instant now, const Bill& bill, Effects& effects) -> void;
  // Writes what is not yet in the ledger without waiting for the period.
  auto Flush(Instant now, Effects& effects) -> void;
  auto OnTime(Instant now, Effects& effects) -> void;
  auto OnCopied(const PeerRef& from, const BillCopied& copied, Effects& effects)
      -> void;
  // A witness may be lost: its copies are made anew elsewhere.
  auto OnHostLost(Instant now, Incarnation incarnation, Effects& effects)
      -> void;
  // Returns whether the answer was to a request of this ledger.
  auto OnStore(Instant now, const StoreAnswered& answered, Effects& effects)
      -> bool;

  [[nodiscard]] auto id() const -> const LedgerId& { return ledger_.id; }
  [[nodiscard]] auto unflushed() const -> std::size_t;
  [[nodiscard]] auto exposed() const -> std::uint64_t {
    return copier_.exposed();
  }

 private:
  // A write of the ledger, repeated unchanged until it is settled.
  struct Write {
    // Zero while the next try is waited for.
    StoreToken token = 0;
    Ledger ledger;
    // Whether the token is of a read that tells what the write did.
    bool reading = false;
    Instant next_try;
    Duration backoff{0};
  };

  auto Append(Instant now,
              const Bill& bill,
              bool wants_notice,
              Effects& effects) -> void;
  auto Remember(const RequestId& request) -> bool;
  auto StartWrite(Effects& effects) -> void;
  auto SendWrite(Effects& effects) -> void;
  auto SendReadBack(Effects& effects) -> void;
  auto WriteDone(Instant now, ObjectVersion version, Effects& effects) -> void;
  auto OnReadBack(Instant now, const StoreFound& found, Effects& effects)
      -> void;
  auto RetryLater(Instant now) -> void;
  // Begins a new ledger with the bills that the closed one does not hold.
  auto BeginNext(Instant now, const Ledger& closed, Effects& effects) -> void;
  auto FoldTail(Effects& effects) -> void;
  // Folds the tail's bills up to a number into one sum.
  auto FoldUpTo(std::uint64_t last, Effects& effects) -> void;
  auto FlushPeriod() const -> Duration;

  const ClusterView* cluster_;
  BillLimits limits_;
  StoreTokens* tokens_;
  BillCopier copier_;

  // The object's content as last known, and its version.
  Ledger ledger_;
  ObjectVersion version_ = 0;
  std::uint64_t next_number_ = 1;
  // Bills past the mark: sums first, then single ones.
  std::vector<FoldedBills> folded_;
  std::deque<NumberedBill> tail_;
  std::set<RequestId> recent_;
  std::deque<RequestId> recent_order_;
  std::optional<Write> write_;
  Instant last_flush_{};
  bool flush_now_ = false;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_BILLING_OWN_LEDGER_H_
