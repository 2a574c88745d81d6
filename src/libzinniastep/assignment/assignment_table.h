#ifndef LIBZINNIASTEP_ASSIGNMENT_ASSIGNMENT_TABLE_H_
#define LIBZINNIASTEP_ASSIGNMENT_ASSIGNMENT_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/core/cluster_view.h"

namespace zinniastep {

// Average number of backend servers in a cell.
inline constexpr std::uint32_t kServersPerCell = 16;

// One slot of a table with the host responsible for it. A slot is a cell of
// backend servers in a failure domain's table, and a shard of idempotency keys
// in the key table.
struct AssignmentSlot {
  Holder holder;
  // Earlier holders, oldest first, that may still act by an older table.
  std::vector<Holder> former;

  auto operator==(const AssignmentSlot&) const -> bool = default;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(holder.host, holder.incarnation, holder.epoch);
    auto count = static_cast<std::uint32_t>(former.size());
    archive(count);
    former.resize(count);
    for (Holder& one : former) {
      archive(one.host, one.incarnation, one.epoch);
    }
  }
};

// The content of one assignment object: the holder of each slot.
struct AssignmentTable {
  // Incremented with each change. A table of a higher generation replaces one
  // of a lower generation, even if the object API returns the lower one.
  std::uint64_t generation = 0;
  // The epoch of the most recent assignment of a slot.
  std::uint64_t last_epoch = 0;
  std::vector<AssignmentSlot> slots;

  auto operator==(const AssignmentTable&) const -> bool = default;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(generation, last_epoch, slots);
  }
};

// Encodes a table as the JSON value of its object.
[[nodiscard]] auto EncodeTable(const AssignmentTable& table) -> std::string;

// Decodes an object's value. Returns kInvalidArgument if it is not a valid
// table.
[[nodiscard]] auto DecodeTable(std::string_view value)
    -> absl::StatusOr<AssignmentTable>;

// Returns the index of a backend server's cell in a table with `cells` cells.
// Uses rendezvous hashing, so that few servers move when `cells` changes.
[[nodiscard]] auto CellOfServer(const BackendServerId& server,
                                std::uint32_t cells) -> std::uint32_t;

// Returns the number of cells for a roster of `servers` servers, at least one.
[[nodiscard]] auto CellCount(std::size_t servers) -> std::uint32_t;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_ASSIGNMENT_ASSIGNMENT_TABLE_H_
