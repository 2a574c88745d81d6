#ifndef LIBZINNIASTEP_BILLING_LEDGER_SEALER_H_
#define LIBZINNIASTEP_BILLING_LEDGER_SEALER_H_

#include <cstdint>
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
#include "libzinniastep/core/event.h"
#include "libzinniastep/core/store_tokens.h"

namespace zinniastep {

// Seals the ledgers of lost processes as their successor: collects the
// witnesses' tails, and adds exactly what lies past the mark in the one write
// that closes the ledger.
class LedgerSealer {
 public:
  LedgerSealer(const ClusterView& cluster,
               const BillLimits& limits,
               StoreTokens& tokens);

  // A witness handed over its tail of a lost process.
  auto OnTail(Instant now, const PeerRef& from, const HandTail& tail) -> void;
  // A process is lost: its ledgers are sealed even when no tail comes.
  auto OnHostLost(Instant now, Incarnation incarnation) -> void;
  auto OnTime(Instant now, Effects& effects) -> void;
  // Returns whether the answer was to a request of the sealer.
  auto OnStore(Instant now, const StoreAnswered& answered, Effects& effects)
      -> bool;

  // Returns and forgets the ledgers that need no tail any longer.
  [[nodiscard]] auto TakeSealed() -> std::vector<LedgerId> {
    return std::exchange(sealed_, {});
  }

 private:
  // One ledger that is being sealed.
  struct Job {
    std::map<BillRange, BillTotals> folded;
    std::map<std::uint64_t, Bill> bills;
    std::set<HostId> witnesses;
    Instant seal_at;
    StoreToken token = 0;
    bool writing = false;
    Duration backoff{0};
    // Found by the listing, which has no successor of its own.
    bool orphan = false;
  };

  auto JobFor(Instant now, const LedgerId& id) -> Job&;
  // Whether this host is still the one that the witnesses turn to.
  auto IsSuccessor(const LedgerId& id, const Job& job) const -> bool;
  auto StartRead(const LedgerId& id, Job& job, Effects& effects) -> void;
  auto OnLedgerRead(Instant now,
                    const LedgerId& id,
                    const StoreFound& found,
                    Effects& effects) -> void;
  // A process that closed its ledger itself counted on in the next one: so do
  // the bills that its witnesses hold past the mark.
  auto CarryOver(Instant now, const LedgerId& id, std::uint64_t mark) -> void;
  auto Seal(const LedgerId& id,
            ObjectVersion version,
            Ledger ledger,
            Effects& effects) -> void;
  // Logs the bills of a tail that came after another host's seal.
  static auto LogMissed(const LedgerId& id,
                        const Job& job,
                        const Ledger& ledger,
                        Effects& effects) -> void;
  auto Done(const LedgerId& id, Effects& effects) -> void;
  auto RetryLater(Instant now, Job& job) -> void;
  auto LookForOrphans(Instant now, Effects& effects) -> void;
  auto OnOrphanList(Instant now, const StoreFound& found) -> void;

  const ClusterView* cluster_;
  BillLimits limits_;
  StoreTokens* tokens_;
  std::map<LedgerId, Job> jobs_;
  std::vector<LedgerId> sealed_;
  std::optional<StoreToken> listing_;
  std::optional<Instant> next_listing_;
  // Open ledgers without a live process in the last listing.
  std::set<LedgerId> suspects_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_BILLING_LEDGER_SEALER_H_
