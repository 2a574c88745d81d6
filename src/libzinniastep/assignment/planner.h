#ifndef LIBZINNIASTEP_ASSIGNMENT_PLANNER_H_
#define LIBZINNIASTEP_ASSIGNMENT_PLANNER_H_

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "libzinniastep/assignment/assignment_table.h"
#include "libzinniastep/core/host_identity.h"

namespace zinniastep {

// Returns the candidates ranked by rendezvous hashing over `name`, the name of
// a slot or of a table. The first one takes the slot, or writes the table.
[[nodiscard]] auto RankByRendezvous(std::span<const HostIdentity> candidates,
                                    std::string_view name)
    -> std::vector<const HostIdentity*>;

// Returns the table that should replace `current`. Slots whose holder is among
// the candidates keep it, except that one slot moves when `rebalance` is set
// and the slots are unevenly distributed. `name` identifies the table for
// hashing. The generation is incremented only when the table changes.
[[nodiscard]] auto PlanTable(const AssignmentTable& current,
                             std::span<const HostIdentity> candidates,
                             std::uint32_t slots,
                             std::string_view name,
                             bool rebalance) -> AssignmentTable;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_ASSIGNMENT_PLANNER_H_
