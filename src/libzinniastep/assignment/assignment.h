#ifndef LIBZINNIASTEP_ASSIGNMENT_ASSIGNMENT_H_
#define LIBZINNIASTEP_ASSIGNMENT_ASSIGNMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "libzinniastep/assignment/assignment_table.h"
#include "libzinniastep/assignment/messages.h"
#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/random.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/configuration/snapshot.h"
#include "libzinniastep/core/cluster_view.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/core/host_identity.h"
#include "libzinniastep/core/store_tokens.h"
#include "libzinniastep/membership/membership.h"

namespace zinniastep {

// Timing and gossip settings of the assignment of slots to hosts.
struct AssignmentSettings {
  // Duration of the lease that a read grants when the table names this host as
  // holder, counted from the start of the read.
  Duration lease = std::chrono::seconds(10);
  Duration renew_period = std::chrono::seconds(3);
  // How long membership must be unchanged before a table is changed.
  Duration membership_settle_time = std::chrono::seconds(1);
  // Time after which a table is changed even if membership keeps changing.
  Duration max_settle_time = std::chrono::seconds(10);
  // Additional delay before a host writes a table, multiplied by its rank (0 is
  // first).
  Duration write_delay_per_rank = std::chrono::seconds(3);
  // Minimum time between two moves of a slot that only rebalance load.
  Duration rebalance_period = std::chrono::seconds(30);
  Duration digest_period = std::chrono::seconds(5);
  Duration store_timeout = std::chrono::seconds(2);
  // Number of hosts of the own region that a new table is pushed to.
  std::uint32_t push_fan_out = 3;
};

// Lease of this host on a cell.
enum class LeaseState : std::uint8_t {
  // Not the holder.
  kNone,
  // The holder, with a lease that has not expired.
  kHeld,
  // The holder by the last read, with an expired lease.
  kLapsed,
  // The holder is lost and the object API does not answer; this host stands in
  // for the holder.
  kStandIn,
};

// Assigns a steward to each cell of backend servers and an authority to each
// shard of idempotency keys. The tables are stored as objects, change by
// conditional update only when hosts or rosters change, and spread by gossip.
class Assignment {
 public:
  Assignment(const Membership& membership,
             const ConfigurationSnapshot& configuration,
             AssignmentSettings settings,
             std::uint64_t seed);

  auto OnTime(Instant now, Effects& effects) -> void;
  auto OnMessage(Instant now,
                 const PeerRef& from,
                 const AssignmentMessage& message,
                 Effects& effects) -> void;
  auto OnStore(Instant now, const StoreAnswered& answer, Effects& effects)
      -> void;

  // Returns the state of this host's lease as steward of the cell.
  [[nodiscard]] auto Lease(const FailureDomainId& domain,
                           std::uint32_t cell,
                           Instant now) const -> LeaseState;

  // Returns when this host's lease on a failure domain's table ends, or the
  // default Instant, which is in the past, when there is no lease.
  [[nodiscard]] auto LeaseEnd(const FailureDomainId& domain) const -> Instant;

  // Returns whether this host is the cell's steward with an unexpired lease.
  [[nodiscard]] auto IsHolder(const FailureDomainId& domain,
                              std::uint32_t cell,
                              Instant now) const -> bool;

  // Returns the steward of a cell or its stand-in, or none if the cell is
  // unknown.
  [[nodiscard]] auto StewardOf(const FailureDomainId& domain,
                               std::uint32_t cell) const
      -> std::optional<HostId>;

  // Returns a failure domain's table, or null while none is known.
  [[nodiscard]] auto TableOf(const FailureDomainId& domain) const
      -> const AssignmentTable*;

  // Returns the number of cells of a failure domain; zero while unknown.
  [[nodiscard]] auto CellsOf(const FailureDomainId& domain) const
      -> std::uint32_t;

  // Returns the cell that a backend server belongs to.
  [[nodiscard]] auto CellOf(const FailureDomainId& domain,
                            const BackendServerId& server) const
      -> std::uint32_t;

  // Returns the authority of a shard of idempotency keys, or none while the
  // table is unknown. An earlier authority is fenced by the new authority's
  // writes to the claims ledger.
  [[nodiscard]] auto KeyShardHolder(std::uint32_t shard) const
      -> std::optional<Holder>;

  // Returns whether all tables that requests of this host's region need are
  // known. Without them, no steward grants places at backend servers.
  [[nodiscard]] auto HasTables() const -> bool;

  // Returns whether the object API answered the last call.
  [[nodiscard]] auto store_answers() const -> bool { return store_answers_; }

  // Returns the failure domains whose tables are known, in order. The empty
  // name stands for the key shards.
  [[nodiscard]] auto domains() const -> std::vector<FailureDomainId>;

  [[nodiscard]] auto settings() const -> const AssignmentSettings& {
    return settings_;
  }

 private:
  enum class Step : std::uint8_t { kIdle, kReading, kWriting };

  // The inputs of Plan, compared to skip planning when none has changed.
  struct PlanInputs {
    std::uint64_t membership = 0;
    std::uint64_t generation = 0;
    std::uint32_t slots = 0;
    bool may_rebalance = false;

    auto operator==(const PlanInputs&) const -> bool = default;
  };

  // One table and the state of this host's reads and writes of its object.
  struct Object {
    AssignmentTable table;
    Step step = Step::kIdle;
    StoreToken token = 0;
    Instant step_started;
    // The table of the last write.
    AssignmentTable proposal;
    ObjectVersion version = 0;
    std::optional<Instant> lease_end;
    Instant next_read;
    Instant next_rebalance;
    // When the table first differed from the plan.
    std::optional<Instant> change_needed_since;
    // Last change of membership while the table differs from the plan.
    Instant stable_since;
    std::uint64_t stable_revision = 0;
    Instant unchanged_since;
    PlanInputs planned_inputs;
    bool plan_differs = false;
  };

  auto CheckObject(Instant now, const FailureDomainId& domain, Effects& effects)
      -> void;
  auto StartRead(Instant now,
                 const FailureDomainId& domain,
                 Object& object,
                 Effects& effects) -> void;
  auto FinishRead(Instant now,
                  const FailureDomainId& domain,
                  Object& object,
                  const StoreFound& found,
                  Effects& effects) -> void;
  [[nodiscard]] auto NeedsChange(Instant now,
                                 const FailureDomainId& domain,
                                 Object& object) const -> bool;
  auto StartWrite(Instant now,
                  const FailureDomainId& domain,
                  Object& object,
                  AssignmentTable proposal,
                  Effects& effects) -> void;
  auto WriteIfNeeded(Instant now,
                     const FailureDomainId& domain,
                     Object& object,
                     Effects& effects) -> void;
  auto Adopt(Instant now,
             const FailureDomainId& domain,
             Object& object,
             const AssignmentTable& table,
             Effects& effects) -> bool;
  auto Push(const FailureDomainId& domain,
            const Object& object,
            Effects& effects) -> void;
  auto SendDigest(Effects& effects) -> void;
  auto Handle(Instant now,
              const PeerRef& from,
              const TablePush& push,
              Effects& effects) -> void;
  auto Handle(Instant now,
              const PeerRef& from,
              const TableDigest& digest,
              Effects& effects) -> void;

  [[nodiscard]] auto Candidates(const FailureDomainId& domain) const
      -> std::vector<HostIdentity>;
  [[nodiscard]] auto RequiredSlots(const FailureDomainId& domain) const
      -> std::uint32_t;
  [[nodiscard]] auto Plan(Instant now,
                          const FailureDomainId& domain,
                          const Object& object) const -> AssignmentTable;
  [[nodiscard]] auto IsHeldBySelf(const Holder& holder) const -> bool;
  [[nodiscard]] auto HoldsAnySlot(const Object& object) const -> bool;
  [[nodiscard]] auto StandInOf(const FailureDomainId& domain,
                               std::uint32_t cell) const
      -> std::optional<HostId>;
  [[nodiscard]] auto RandomPeer(bool same_region) -> const HostIdentity*;

  const Membership& membership_;
  const ConfigurationSnapshot& configuration_;
  AssignmentSettings settings_;
  Random random_;
  StoreTokens tokens_;
  std::map<FailureDomainId, Object> objects_;
  bool store_answers_ = true;
  bool started_ = false;
  Instant next_check_;
  Instant next_digest_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_ASSIGNMENT_ASSIGNMENT_H_
