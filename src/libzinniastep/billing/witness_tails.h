#ifndef LIBZINNIASTEP_BILLING_WITNESS_TAILS_H_
#define LIBZINNIASTEP_BILLING_WITNESS_TAILS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/billing/bill_limits.h"
#include "libzinniastep/billing/ledger.h"
#include "libzinniastep/billing/messages.h"
#include "libzinniastep/core/cluster_view.h"
#include "libzinniastep/core/effects.h"

namespace zinniastep {

// Returns the live host that seals a lost process's ledgers, as this host sees
// it. Hosts that see different ones do no harm: one seal takes effect.
[[nodiscard]] auto SuccessorOf(const ClusterView& cluster,
                               Incarnation incarnation)
    -> std::optional<HostIdentity>;

// The bills past the mark that this host keeps for others as their witness.
// When their host is lost they go to the successor until it has sealed.
class WitnessTails {
 public:
  WitnessTails(const ClusterView& cluster, const BillLimits& limits);

  auto OnCopy(Instant now,
              const PeerRef& from,
              const CopyBill& copy,
              Effects& effects) -> void;
  auto OnFold(Instant now, const FoldBills& fold) -> void;
  auto OnTrim(const TrimBills& trim) -> void;
  auto OnSealed(const TailSealed& sealed) -> void;
  auto OnHostLost(Instant now, Incarnation incarnation, Effects& effects)
      -> void;
  auto OnTime(Instant now, Effects& effects) -> void;

  // Returns this host's tail of a ledger, when it has one.
  [[nodiscard]] auto TailOf(const LedgerId& ledger) const
      -> std::optional<HandTail>;

  // Returns and forgets the tails that this host is the successor for.
  [[nodiscard]] auto TakeOwn() -> std::vector<HandTail> {
    return std::exchange(own_, {});
  }

 private:
  struct Tail {
    std::uint64_t mark = 0;
    std::map<BillRange, BillTotals> folded;
    std::map<std::uint64_t, Bill> bills;
    Instant heard;
    std::optional<Instant> next_hand;
  };

  static constexpr Duration kSweepPeriod = std::chrono::seconds(10);
  // Closed ledgers that are remembered, so that a late copy opens no tail.
  static constexpr std::size_t kClosedKept = 1024;

  static auto TrimTo(std::uint64_t mark, Tail& tail) -> void;
  auto Close(const LedgerId& ledger) -> void;
  auto Hand(Instant now, const LedgerId& id, Tail& tail, Effects& effects)
      -> void;

  const ClusterView* cluster_;
  BillLimits limits_;
  std::map<LedgerId, Tail> tails_;
  std::vector<HandTail> own_;
  std::set<LedgerId> closed_;
  std::deque<LedgerId> closed_order_;
  Instant next_sweep_{};
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_BILLING_WITNESS_TAILS_H_
