#ifndef LIBZINNIASTEP_CONFIGURATION_RECORD_TABLE_H_
#define LIBZINNIASTEP_CONFIGURATION_RECORD_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/configuration/messages.h"

namespace zinniastep {

// Number of buckets that objects are hashed onto for comparing tables.
inline constexpr std::size_t kRecordBuckets = 32;
// Patches that are kept of one object for hosts that are a little behind.
inline constexpr std::size_t kMostPatches = 8;

// Returns whether state `a` of an object is newer than `b`.
[[nodiscard]] auto IsNewer(const RecordId& a, const RecordId& b) -> bool;

// The state of each configuration object that is in force on this host, as
// canonical text, with digests for comparing tables between hosts.
class RecordTable {
 public:
  using BucketDigests = std::array<std::uint64_t, kRecordBuckets>;

  struct Record {
    RecordId id;
    std::string text;
  };

  // Returns the object's state, or null.
  [[nodiscard]] auto Find(const ObjectPath& path) const -> const Record*;

  // Keeps the state in place of the object's older one.
  auto Put(Record record) -> void;

  // Forgets an object.
  auto Erase(const ObjectPath& path) -> void;

  // Returns the digests of the objects in scope, by bucket or of all.
  [[nodiscard]] auto Buckets(RecordScope scope) const -> BucketDigests;
  [[nodiscard]] auto Digest(RecordScope scope) const -> std::uint64_t;

  // Returns the states of the objects in scope that lie in the buckets.
  [[nodiscard]] auto List(RecordScope scope,
                          std::span<const std::uint8_t> buckets) const
      -> std::vector<RecordId>;

  // Returns the object's content for a host that has the given digest: as a
  // patch when there is one and it is shorter, else whole.
  [[nodiscard]] auto Content(const Record& record,
                             std::uint64_t have_digest) const -> RecordContent;

  [[nodiscard]] auto records() const -> const std::map<ObjectPath, Record>& {
    return records_;
  }

 private:
  // Turns the content with one digest into that with the next.
  struct Patch {
    std::uint64_t from_digest = 0;
    std::string text;
  };

  auto KeepPatch(const Record& older, const Record& newer) -> void;

  std::map<ObjectPath, Record> records_;
  // Oldest first; the last one leads to the state in force.
  std::map<ObjectPath, std::deque<Patch>> patches_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_RECORD_TABLE_H_
