#ifndef LIBZINNIASTEP_CLAIM_SHARD_AUTHORITY_H_
#define LIBZINNIASTEP_CLAIM_SHARD_AUTHORITY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/claim/claim_entry.h"
#include "libzinniastep/claim/claim_limits.h"
#include "libzinniastep/claim/claim_outbox.h"
#include "libzinniastep/claim/messages.h"
#include "libzinniastep/claim/replay_cache.h"
#include "libzinniastep/claim/shard_ledger.h"
#include "libzinniastep/claim/waiting_room.h"
#include "libzinniastep/claim/write_budget.h"
#include "libzinniastep/core/cluster_view.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/core/store_tokens.h"

namespace zinniastep {

// Decides on the keys of one shard. A claim is granted only after a
// conditional write that holds it took effect; what a write did whose answer
// was lost is read back. Any number of processes may believe to be the
// authority: the condition on the object's version lets one of them write.
class ShardAuthority {
 public:
  ShardAuthority(std::uint32_t shard,
                 const ClusterView& cluster,
                 const ClaimLimits& limits,
                 StoreTokens& tokens);

  // Decides on a request, at once or after a write.
  auto OnAsk(Instant now,
             const PeerRef& from,
             const ClaimAsk& ask,
             ClaimOutbox& outbox) -> void;

  // Takes in what became of a request; it is taken once it is written.
  auto OnReport(Instant now,
                const PeerRef& from,
                const ClaimReport& report,
                ClaimOutbox& outbox) -> void;

  auto OnTime(Instant now, ClaimOutbox& outbox, Effects& effects) -> void;
  // Returns whether the answer was to a request of this shard.
  auto OnStore(Instant now,
               const StoreAnswered& answered,
               ClaimOutbox& outbox,
               Effects& effects) -> bool;
  auto OnHostLost(Instant now, Incarnation incarnation) -> void;

 private:
  // A request whose grant waits for a write.
  struct Claim {
    Waiter waiter;
    Instant since;
    Instant until;
    // Whether a write that holds it was sent.
    bool sent = false;
  };
  // A report that waits for a write; nobody is told of one without a sender.
  struct Report {
    std::optional<PeerRef> from;
    RequestId request;
    ClaimOutcome outcome = ClaimOutcome::kUnknown;
  };
  // What the next write changes about one key: the reports first, then the
  // claim, when the key is free by then.
  struct Change {
    std::vector<Report> reports;
    std::optional<Claim> claim;
    Instant since;
  };
  using Changes = std::map<KeyDigest, Change>;
  struct Write {
    StoreToken token = 0;
    ShardLedger ledger;
    Changes changes;
  };

  auto is_holder() const -> bool;
  // Whether an earlier write may still take effect.
  auto uncertain() const -> bool;
  auto StepDown() -> void;
  auto StartRead(Effects& effects) -> void;
  auto ReadFailed(Instant now) -> void;
  auto OnRead(Instant now, const StoreAnswered& answered, ClaimOutbox& outbox)
      -> void;
  auto OnWritten(Instant now,
                 const StoreAnswered& answered,
                 ClaimOutbox& outbox,
                 Effects& effects) -> void;
  auto Committed(Instant now, Write write, ClaimOutbox& outbox) -> void;
  // Grants a claim that is in the ledger, unless it has waited too long.
  auto FinishClaim(Instant now,
                   const KeyDigest& key,
                   const Claim& claim,
                   ClaimOutbox& outbox) -> void;
  // Grants the pending claims that turn out to be in the ledger already.
  auto AnswerCommitted(Instant now, ClaimOutbox& outbox) -> void;
  // Puts the changes of a write that failed back in line.
  auto ReturnChanges(Changes& changes, ClaimOutbox& outbox) -> void;
  // Whether one of the reports is a request's.
  static auto Names(const std::vector<Report>& reports,
                    const RequestId& request) -> bool;
  // Returns a key's entry as if all known reports were written.
  auto Effective(const KeyDigest& key) const -> std::optional<ClaimEntry>;
  auto ReplyTo(Instant now,
               const Waiter& waiter,
               const ClaimEntry& entry,
               ClaimOutbox& outbox) -> void;
  auto Reply(const Waiter& waiter, ClaimAnswer answer, ClaimOutbox& outbox)
      -> void;
  // Refuses a claim that could not be written.
  static auto Refuse(const Claim& claim,
                     ClaimAnswer answer,
                     ClaimOutbox& outbox) -> void;
  auto AskExecutor(Instant now,
                   const ClaimEntry& entry,
                   const KeyDigest& key,
                   ClaimOutbox& outbox) -> void;
  auto AddReport(Instant now, const KeyDigest& key, const Report& report)
      -> void;
  auto WakeWaiters(Instant now, const KeyDigest& key, ClaimOutbox& outbox)
      -> void;
  // The ledger was read or written just now.
  auto Confirm(Instant now) -> void;
  // Whether no other process can have granted a key that the ledger lacks.
  auto is_sole_authority() const -> bool;
  auto RefuseLateClaims(Instant now, ClaimOutbox& outbox) -> void;
  auto WriteIfDue(Instant now, ClaimOutbox& outbox, Effects& effects) -> void;
  // Puts the pending changes into a ledger; answers those claims that need no
  // write. Returns whether the ledger changed.
  auto Apply(ShardLedger& ledger, ClaimOutbox& outbox) -> bool;
  auto ApplyClaim(const KeyDigest& key,
                  Change& change,
                  ShardLedger& ledger,
                  ClaimOutbox& outbox) -> bool;

  std::uint32_t shard_;
  const ClusterView* cluster_;
  ClaimLimits limits_;
  StoreTokens* tokens_;

  bool loaded_ = false;
  // The object was changed by another process, or a write's fate is not known.
  bool must_read_ = false;
  // Whether this host was not paused since the ledger was read or written, and
  // how many hosts it saw then.
  bool confirmed_ = false;
  std::size_t hosts_then_ = 0;
  Instant last_time_{};
  ObjectVersion version_ = 0;
  ShardLedger ledger_;
  Instant loaded_at_{};
  std::optional<StoreToken> read_;
  std::optional<Instant> wanted_since_;
  Instant next_read_{};
  Duration read_backoff_{0};
  std::optional<Write> write_;
  // The version that a write without an answer expected.
  std::optional<ObjectVersion> silent_at_;
  Changes pending_;
  // Asks that came before the ledger was read.
  std::vector<Waiter> early_;
  std::map<Incarnation, Instant> missing_executors_;
  WriteBudget budget_;
  ReplayCache replays_;
  WaitingRoom waiting_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CLAIM_SHARD_AUTHORITY_H_
