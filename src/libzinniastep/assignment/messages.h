#ifndef LIBZINNIASTEP_ASSIGNMENT_MESSAGES_H_
#define LIBZINNIASTEP_ASSIGNMENT_MESSAGES_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "libzinniastep/assignment/assignment_table.h"
#include "libzinniastep/base/ids.h"

namespace zinniastep {

// Sends a table. The receiver adopts it when its generation is higher.
struct TablePush {
  // The failure domain, or empty for the key shards.
  FailureDomainId domain;
  AssignmentTable table;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(domain, table);
  }
};

// One entry of a TableDigest.
struct TableGeneration {
  // The failure domain, or empty for the key shards.
  FailureDomainId domain;
  std::uint64_t generation = 0;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(domain, generation);
  }
};

// Requests the tables of which the receiver has a higher generation than the
// sender.
struct TableDigest {
  std::vector<TableGeneration> tables;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(tables);
  }
};

// The peer messages that spread assignment tables.
using AssignmentMessage = std::variant<std::monostate, TablePush, TableDigest>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_ASSIGNMENT_MESSAGES_H_
