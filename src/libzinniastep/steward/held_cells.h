#ifndef LIBZINNIASTEP_STEWARD_HELD_CELLS_H_
#define LIBZINNIASTEP_STEWARD_HELD_CELLS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "libzinniastep/assignment/assignment.h"
#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/random.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/configuration/snapshot.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/core/host_identity.h"
#include "libzinniastep/membership/membership.h"
#include "libzinniastep/steward/backend_server_state.h"
#include "libzinniastep/steward/messages.h"
#include "libzinniastep/steward/steward_settings.h"

namespace zinniastep {

// Names one cell of backend servers.
struct CellId {
  FailureDomainId domain;
  std::uint32_t cell = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const CellId&) const = default;
};

// One cell that this host is steward of, or stands in for.
struct HeldCell {
  std::uint64_t epoch = 0;
  // Number of cells of the failure domain.
  std::uint32_t cells = 0;
  LeaseState lease = LeaseState::kNone;
  bool stands_in = false;
  Instant held_since;
  Instant lapsed_since;
  // Time from which earlier stewards' credits can no longer be used.
  Instant eligible;
  // Epochs of earlier stewards that have not said that they stopped.
  std::vector<std::uint64_t> unconfirmed;
  // What the earlier stewards that stopped have left at the servers.
  std::map<BackendServerId, std::uint32_t> left;
  std::uint64_t roster_generation = 0;
  std::map<BackendServerId, BackendServerState> servers;
};

// The cells of this host, taken over from earlier stewards and handed over to
// later ones, with what is known of their backend servers.
class HeldCells {
 public:
  HeldCells(const Membership& membership,
            const Assignment& assignment,
            const ConfigurationSnapshot& configuration,
            StewardSettings settings,
            std::uint64_t seed);

  auto OnTime(Instant now, Effects& effects) -> void;
  auto OnLoadPolled(Instant now, const LoadPolled& polled) -> void;
  auto OnHandOver(Instant now, const HandOver& hand_over) -> void;

  // Brings a cell up to date with lease and roster. Returns null when it is
  // not held any more.
  auto Refresh(Instant now, const CellId& id) -> HeldCell*;

  // Counts a credit that was granted, and one that came back or expired.
  auto NoteGranted(const BackendServerId& server) -> void;
  auto NoteReleased(const BackendServerId& server) -> void;

  // Returns how much of a cold server's limit this host may use: less while
  // its lease has lapsed, or an earlier steward may still act.
  [[nodiscard]] auto ColdShare(Instant now,
                               const HeldCell& cell,
                               std::uint32_t cold_limit) const -> std::uint32_t;

  // Returns the held cells of a failure domain.
  [[nodiscard]] auto CellsIn(const FailureDomainId& domain) const
      -> std::vector<CellId>;

  [[nodiscard]] auto cells() const -> const std::map<CellId, HeldCell>& {
    return cells_;
  }

  // Returns what is known of a backend server of these cells, or null.
  [[nodiscard]] auto FindServer(const BackendServerId& server)
      -> BackendServerState*;
  [[nodiscard]] auto FindServer(const BackendServerId& server) const
      -> const BackendServerState*;

 private:
  // A cell that was held and whose new stewards must be told.
  struct Farewell {
    HandOver message;
    std::uint32_t tries_left = 0;
    Instant next_try;
  };

  auto FollowAssignment(Instant now) -> void;
  auto Take(Instant now, const CellId& id, LeaseState lease) -> HeldCell&;
  auto Drop(Instant now, const CellId& id) -> void;
  auto Depart(Instant now, const CellId& id, const HeldCell& cell) -> void;
  auto FollowRoster(Instant now, const CellId& id, HeldCell& cell) -> void;
  auto PollServers(Instant now, Effects& effects) -> void;
  auto SayFarewells(Instant now, Effects& effects) -> void;

  const Membership& membership_;
  const Assignment& assignment_;
  const ConfigurationSnapshot& configuration_;
  StewardSettings settings_;
  Random random_;
  std::map<CellId, HeldCell> cells_;
  std::map<BackendServerId, CellId> cell_of_server_;
  // Credits that have not come back, by server.
  std::map<BackendServerId, std::uint32_t> open_credits_;
  std::vector<Farewell> farewells_;
  Instant next_follow_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_STEWARD_HELD_CELLS_H_
