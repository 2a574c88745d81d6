#ifndef LIBZINNIASTEP_BILLING_BILL_COPIER_H_
#define LIBZINNIASTEP_BILLING_BILL_COPIER_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/billing/bill_limits.h"
#include "libzinniastep/billing/ledger.h"
#include "libzinniastep/billing/messages.h"
#include "libzinniastep/billing/witness_order.h"
#include "libzinniastep/core/cluster_view.h"
#include "libzinniastep/core/effects.h"

namespace zinniastep {

// Copies this host's bills to witnesses and says when each is secured.
class BillCopier {
 public:
  BillCopier(const ClusterView& cluster, const BillLimits& limits);

  // Begins to copy a bill. With `wants_notice` a BillSecured follows.
  auto Copy(Instant now,
            const LedgerId& ledger,
            std::uint64_t mark,
            const NumberedBill& bill,
            bool wants_notice,
            Effects& effects) -> void;

  auto OnCopied(const PeerRef& from, const BillCopied& copied, Effects& effects)
      -> void;

  // Asks further witnesses, and lets bills go that have waited too long.
  // Returns whether a bill is kept nowhere else and needs the object API.
  auto OnTime(Instant now, std::uint64_t mark, Effects& effects) -> bool;

  // The ledger object holds all bills up to the mark.
  auto OnFlushed(const LedgerId& ledger, std::uint64_t mark, Effects& effects)
      -> void;

  // A closed ledger holds some bills; the copies of the others are to be
  // begun anew under another ledger's numbers. Returns the numbers of those
  // whose notice is still wanted.
  [[nodiscard]] auto OnClosed(const Ledger& closed, Effects& effects)
      -> std::set<std::uint64_t>;

  // Forgets a lost witness. Returns the hosts that take its place and have no
  // copies yet.
  [[nodiscard]] auto ReplaceWitness(Instant now, Incarnation incarnation)
      -> std::vector<HostId>;

  // Gives all witnesses a sum in place of single bills.
  auto Fold(const FoldBills& fold, Effects& effects) -> void;

  // Returns whether a request's bill still waits to be secured.
  [[nodiscard]] auto IsOpen(const RequestId& request) const -> bool;

  // Returns the first number that is not secured yet; zero when all are.
  [[nodiscard]] auto first_open() const -> std::uint64_t;

  // Returns how many bills were let go while nothing else kept them.
  [[nodiscard]] auto exposed() const -> std::uint64_t { return exposed_; }

 private:
  struct Open {
    LedgerId ledger;
    NumberedBill bill;
    bool wants_notice = false;
    Instant since;
    Instant next_try;
    std::set<HostId> asked;
    std::set<HostId> kept;
  };

  auto RefreshOrder(Instant now) -> void;
  auto AddWitness(const HostIdentity& host) -> void;
  auto Ask(Instant now, std::uint64_t mark, Open& open, Effects& effects)
      -> void;
  auto TellSecured(const Open& open, Effects& effects) -> void;
  auto TellWitnesses(const BillingMessage& message, Effects& effects) -> void;

  const ClusterView* cluster_;
  BillLimits limits_;
  WitnessOrder order_;
  Instant order_until_{};
  std::map<std::uint64_t, Open> open_;
  // Hosts that may hold copies of the present ledger.
  std::map<HostId, Incarnation> witnesses_;
  std::uint64_t exposed_ = 0;
  Instant last_time_{};
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_BILLING_BILL_COPIER_H_
