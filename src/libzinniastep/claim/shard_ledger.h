#ifndef LIBZINNIASTEP_CLAIM_SHARD_LEDGER_H_
#define LIBZINNIASTEP_CLAIM_SHARD_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/claim/claim_entry.h"
#include "libzinniastep/claim/claim_key.h"
#include "libzinniastep/claim/claim_limits.h"

namespace zinniastep {

// The keys of one shard that were granted, as the object `claims/SHARD` holds
// them. Its clock counts the milliseconds that its authorities held it; it
// never runs faster than time, so entries are never dropped too early.
struct ShardLedger {
  std::uint64_t millisecond = 0;
  std::map<KeyDigest, ClaimEntry> entries;

  // Drops entries whose time is over; when there are still too many, those
  // that may be dropped early, oldest first. Held keys stay.
  auto DropOld(const ClaimLimits& limits) -> void;
};

// Returns the path of a shard's object.
[[nodiscard]] auto ShardPath(std::uint32_t shard) -> ObjectPath;

// Returns the ledger as the JSON value of its object.
[[nodiscard]] auto WriteShardLedger(const ShardLedger& ledger) -> std::string;

// Reads a ledger from the JSON value of its object.
[[nodiscard]] auto ReadShardLedger(std::string_view value)
    -> absl::StatusOr<ShardLedger>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CLAIM_SHARD_LEDGER_H_
