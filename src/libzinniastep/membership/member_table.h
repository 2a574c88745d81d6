#ifndef LIBZINNIASTEP_MEMBERSHIP_MEMBER_TABLE_H_
#define LIBZINNIASTEP_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/membership/messages.h"

namespace zinniastep {

// Number of hash buckets that a table comparison is divided into.
inline constexpr std::size_t kMemberBuckets = 64;

// Holds the newest record of each host and one digest per hash bucket, so that
// two hosts can find the buckets in which their tables differ.
class MemberTable {
 public:
  MemberTable();

  // Returns whether the record supersedes the stored one of the same host.
  [[nodiscard]] auto IsNewer(const MemberRecord& record) const -> bool;

  // Stores the record, replacing an earlier one of the same host.
  auto Put(const MemberRecord& record) -> void;

  // Removes the record of a host, if there is one.
  auto Erase(const HostId& host) -> void;

  // Returns the record of a host, or null.
  [[nodiscard]] auto Find(const HostId& host) const -> const MemberRecord*;

  [[nodiscard]] auto records() const -> const std::map<HostId, MemberRecord>& {
    return records_;
  }
  [[nodiscard]] auto digests() const -> const std::vector<std::uint64_t>& {
    return digests_;
  }

  // Returns the records of whole buckets whose digests differ from `digests`,
  // starting at bucket `first`, until there are at least `min_records`. A
  // missing digest counts as that of an empty bucket.
  [[nodiscard]] auto DifferingBuckets(std::span<const std::uint64_t> digests,
                                      std::size_t first,
                                      std::size_t min_records) const
      -> SyncReply;

 private:
  [[nodiscard]] auto BucketRecords(std::size_t bucket) const
      -> std::vector<MemberRecord>;

  std::map<HostId, MemberRecord> records_;
  std::vector<std::vector<HostId>> buckets_;
  std::vector<std::uint64_t> digests_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_MEMBERSHIP_MEMBER_TABLE_H_
