#ifndef LIBZINNIASTEP_STEWARD_PLACEMENT_H_
#define LIBZINNIASTEP_STEWARD_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <vector>

#include "libzinniastep/assignment/assignment.h"
#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/configuration/snapshot.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/steward/steward.h"
#include "libzinniastep/steward/steward_settings.h"

namespace zinniastep {

// Makes the engines of this host's cells hold the versions that their roster
// lists, and those that running roll-outs bring in. Orders carry the cell's
// epoch as fencing number and go out under a good lease only, with a delivery
// time that ends inside it.
class Placement {
 public:
  Placement(const Assignment& assignment,
            const ConfigurationSnapshot& configuration,
            StewardSettings settings);

  auto OnTime(Instant now, const Steward& steward, Effects& effects) -> void;
  auto OnOrderAnswered(Instant now,
                       const OrderAnswered& answered,
                       Effects& effects) -> void;

  // Returns the versions that an engine should hold, in order of importance
  // and within its memory.
  [[nodiscard]] auto DesiredVersions(const BackendServerRule& rule) const
      -> std::vector<ModelVersion>;

 private:
  struct OpenOrder {
    ModelVersion version;
    std::uint64_t fence = 0;
    Instant answer_by;
  };

  auto OrderCell(Instant now,
                 const CellId& id,
                 const HeldCell& cell,
                 Effects& effects) -> void;
  auto OrderServer(Instant now,
                   const HeldCell& cell,
                   const BackendServerState& state,
                   Effects& effects) -> void;

  const Assignment& assignment_;
  const ConfigurationSnapshot& configuration_;
  StewardSettings settings_;
  std::map<BackendServerId, OpenOrder> open_;
  // Until when a server that answered an order is left alone.
  std::map<BackendServerId, Instant> rest_until_;
  Instant next_round_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_STEWARD_PLACEMENT_H_
