#ifndef LIBZINNIASTEP_STEWARD_STEWARD_H_
#define LIBZINNIASTEP_STEWARD_STEWARD_H_

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "libzinniastep/assignment/assignment.h"
#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/configuration/snapshot.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/core/host_identity.h"
#include "libzinniastep/membership/membership.h"
#include "libzinniastep/routing/pool_summary.h"
#include "libzinniastep/steward/ask_queue.h"
#include "libzinniastep/steward/backend_server_state.h"
#include "libzinniastep/steward/held_cells.h"
#include "libzinniastep/steward/messages.h"
#include "libzinniastep/steward/steward_settings.h"

namespace zinniastep {

// Returns the hash that stands for a workload in messages.
[[nodiscard]] auto WorkloadHash(const Workload& workload) -> std::uint64_t;

// Grants the credits of the backend servers in the cells that this host holds:
// the one place that decides how much each server gets.
class Steward {
 public:
  Steward(const Membership& membership,
          const Assignment& assignment,
          const ConfigurationSnapshot& configuration,
          StewardSettings settings,
          std::uint64_t seed);

  auto OnTime(Instant now, Effects& effects) -> void;
  auto OnLoadPolled(Instant now, const LoadPolled& polled, Effects& effects)
      -> void;

  // Decides on an ask, or lets it wait.
  auto OnRequest(Instant now, const CreditRequest& request, Effects& effects)
      -> void;
  auto OnCancel(Instant now, const AskId& ask, Effects& effects) -> void;
  auto OnReturn(Instant now, const CreditReturn& returned, Effects& effects)
      -> void;
  auto OnHandOver(Instant now, const HandOver& hand_over, Effects& effects)
      -> void;
  auto OnCellReport(Instant now, const CellReport& report) -> void;

  // Returns and forgets the replies to this host's own asks.
  auto TakeLocalReplies() -> std::vector<CreditReply>;

  // Returns the sums of a held cell, one entry for each workload.
  [[nodiscard]] auto SumsOf(const CellId& id, Instant now) const
      -> std::vector<PoolEntry>;

  // Returns the cells that this host holds or stands in for.
  [[nodiscard]] auto held() const -> const HeldCells& { return held_; }

  [[nodiscard]] auto waiting() const -> std::size_t { return queue_.size(); }
  [[nodiscard]] auto open_credits() const -> std::size_t {
    return credits_.size();
  }

 private:
  // A credit that has not come back.
  struct OpenCredit {
    BackendServerId server;
    CreditReply reply;
    Instant expires;
  };

  // What another steward of the failure domain reported.
  struct Neighbour {
    std::uint64_t epoch = 0;
    std::vector<PoolEntry> entries;
    Instant arrived;
  };

  auto ExpireCredits(Instant now) -> void;
  auto ServeQueue(Instant now, Effects& effects) -> void;
  auto RefuseHomeless(Effects& effects) -> void;
  auto TryGrant(Instant now, const CreditRequest& request, Effects& effects)
      -> bool;
  auto Grant(Instant now,
             const CellId& id,
             const BackendServerState& state,
             const Workload& workload,
             const CreditRequest& request,
             Effects& effects) -> void;
  auto TryForward(Instant now, const CreditRequest& request, Effects& effects)
      -> bool;
  auto Reply(const HostId& asker, const CreditReply& reply, Effects& effects)
      -> void;
  auto Refuse(const CreditRequest& request,
              RefusalCause cause,
              Effects& effects) -> void;
  auto Close(std::map<std::uint64_t, OpenCredit>::iterator it) -> void;

  [[nodiscard]] auto MayServe(const FailureDomainId& domain,
                              const Workload& workload) const -> bool;
  [[nodiscard]] auto Choose(Instant now,
                            const HeldCell& cell,
                            const Workload& workload,
                            std::uint64_t prefix) const
      -> const BackendServerState*;
  [[nodiscard]] auto ServesAny(const CreditRequest& request) const -> bool;

  const HostIdentity self_;
  const Assignment& assignment_;
  const ConfigurationSnapshot& configuration_;
  StewardSettings settings_;
  HeldCells held_;
  std::map<std::uint64_t, OpenCredit> credits_;
  std::map<AskId, std::uint64_t> credit_of_ask_;
  std::set<std::pair<Instant, std::uint64_t>> expiries_;
  std::map<CellId, Neighbour> neighbours_;
  AskQueue queue_;
  std::vector<CreditReply> local_replies_;
  std::uint64_t last_credit_;
  bool capacity_freed_ = false;
  Instant next_serve_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_STEWARD_STEWARD_H_
