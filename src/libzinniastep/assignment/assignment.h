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

// Times of the assignment of slots to hosts.
struct AssignmentSettings {
  // How long a read that shows this host as holder is good for, counted from
  // the start of the read.
  Duration lease = std::chrono::seconds(10);
  Duration renew_period = std::chrono::seconds(3);
  // How long a change of membership must last before tables are changed.
  Duration settle = std::chrono::seconds(1);
  // Tables change after this time even when membership goes on changing.
  Duration longest_settle = std::chrono::seconds(10);
  // How much longer each further stand-in waits before it writes.
  Duration stand_in_delay = std::chrono::seconds(3);
  // Shortest time between two moves that only even out the load.
  Duration rebalance_period = std::chrono::seconds(30);
  Duration digest_period = std::chrono::seconds(5);
  Duration read_timeout = std::chrono::seconds(2);
  // Hosts that a new table is pushed to at once.
  std::uint32_t push_fan_out = 3;
};

// How sure this host is that it holds a cell.
enum class LeaseState : std::uint8_t {
  // Not the holder.
  kNone,
  // The holder by a read that is still good.
  kHeld,
  // The holder by the last read, which is no longer good.
  kLapsed,
  // The holder is lost and the object API silent; this host stands in.
  kStandIn,
};

// Which host is steward of which cell of backend servers, and which one is the
// authority of which shard of idempotency keys. Tables are objects that change
// by conditional update, only when hosts or rosters change, and spread by
// gossip.
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

  // Returns how sure this host is that it is the steward of the cell.
  [[nodiscard]] auto Lease(const FailureDomainId& domain,
                           std::uint32_t cell,
                           Instant now) const -> LeaseState;

  // Returns when the lease on a failure domain's table ends; the past when
  // there is none.
  [[nodiscard]] auto LeaseEnd(const FailureDomainId& domain) const -> Instant;

  // Returns whether this host is the cell's steward by a good lease.
  [[nodiscard]] auto IsHolder(const FailureDomainId& domain,
                              std::uint32_t cell,
                              Instant now) const -> bool;

  // Returns the host to ask about a cell's backend servers, or none.
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

  // Returns the authority of a shard of idempotency keys. Its writes to the
  // claims ledger are what fences an earlier one.
  [[nodiscard]] auto KeyShardHolder(std::uint32_t shard) const
      -> std::optional<Holder>;

  // Returns whether the tables are known that requests of this host's region
  // need: without them nobody grants a place at a backend server.
  [[nodiscard]] auto HasTables() const -> bool;

  // Returns whether the last call to the object API was answered.
  [[nodiscard]] auto store_answers() const -> bool { return store_answers_; }

  // Returns the failure domains whose tables are known, in order. The empty
  // name stands for the key shards.
  [[nodiscard]] auto domains() const -> std::vector<FailureDomainId>;

  [[nodiscard]] auto settings() const -> const AssignmentSettings& {
    return settings_;
  }

 private:
  enum class Step : std::uint8_t { kIdle, kReading, kWriting };

  // What a plan depends on.
  struct PlanInputs {
    std::uint64_t membership = 0;
    std::uint64_t generation = 0;
    std::uint32_t slots = 0;
    bool may_rebalance = false;

    auto operator==(const PlanInputs&) const -> bool = default;
  };

  // One table and this host's dealings with its object.
  struct Object {
    AssignmentTable table;
    Step step = Step::kIdle;
    StoreToken token = 0;
    Instant step_started;
    // The table in a write that has not been answered.
    AssignmentTable proposal;
    ObjectVersion version = 0;
    std::optional<Instant> lease_end;
    Instant next_read;
    Instant next_rebalance;
    // Since when the table has not been what it should be.
    std::optional<Instant> wanting_since;
    // Since when membership has not changed while the table should.
    Instant quiet_since;
    std::uint64_t quiet_revision = 0;
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
  [[nodiscard]] auto WantsChange(Instant now,
                                 const FailureDomainId& domain,
                                 Object& object) const -> bool;
  auto StartWrite(Instant now,
                  const FailureDomainId& domain,
                  Object& object,
                  AssignmentTable proposal,
                  Effects& effects) -> void;
  auto MaybeWrite(Instant now,
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
  [[nodiscard]] auto WantedSlots(const FailureDomainId& domain) const
      -> std::uint32_t;
  [[nodiscard]] auto Plan(Instant now,
                          const FailureDomainId& domain,
                          const Object& object) const -> AssignmentTable;
  [[nodiscard]] auto IsMine(const Holder& holder) const -> bool;
  [[nodiscard]] auto HoldsAny(const Object& object) const -> bool;
  [[nodiscard]] auto StandInOf(const FailureDomainId& domain,
                               std::uint32_t cell) const
      -> std::optional<HostId>;
  [[nodiscard]] auto RandomPeer(bool near) -> const HostIdentity*;

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
