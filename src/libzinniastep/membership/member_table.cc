#include "libzinniastep/membership/member_table.h"

#include <algorithm>
#include <string>

#include "libzinniastep/base/hash.h"

namespace zinniastep {

namespace {

auto BucketOf(const HostId& host) -> std::size_t {
  return StableHash(host.text()) % kMemberBuckets;
}

auto RecordDigest(const MemberRecord& record) -> std::uint64_t {
  const std::string text = record.identity.host.text() + "/" +
                           std::to_string(record.identity.incarnation) + "/" +
                           std::to_string(record.round) + "/" +
                           std::to_string(static_cast<int>(record.state)) +
                           (record.leaving ? "l" : "");
  return StableHash(text);
}

}  // namespace

MemberTable::MemberTable()
    : buckets_(kMemberBuckets), digests_(kMemberBuckets, 0) {}

auto MemberTable::IsNewer(const MemberRecord& record) const -> bool {
  const MemberRecord* held = Find(record.identity.host);
  if (held == nullptr) {
    return true;
  }
  if (record.round != held->round) {
    return record.round > held->round;
  }
  if (record.identity.incarnation != held->identity.incarnation) {
    return record.identity.incarnation > held->identity.incarnation;
  }
  if (record.state != held->state) {
    return record.state > held->state;
  }
  return record.leaving && !held->leaving;
}

auto MemberTable::Put(const MemberRecord& record) -> void {
  const HostId& host = record.identity.host;
  const std::size_t bucket = BucketOf(host);
  const auto [it, is_new] = records_.try_emplace(host, record);
  if (is_new) {
    buckets_[bucket].push_back(host);
  } else {
    digests_[bucket] ^= RecordDigest(it->second);
    it->second = record;
  }
  digests_[bucket] ^= RecordDigest(record);
}

auto MemberTable::Erase(const HostId& host) -> void {
  const auto it = records_.find(host);
  if (it == records_.end()) {
    return;
  }
  const std::size_t bucket = BucketOf(host);
  digests_[bucket] ^= RecordDigest(it->second);
  std::erase(buckets_[bucket], host);
  records_.erase(it);
}

auto MemberTable::Find(const HostId& host) const -> const MemberRecord* {
  const auto it = records_.find(host);
  return it == records_.end() ? nullptr : &it->second;
}

auto MemberTable::DifferingBuckets(std::span<const std::uint64_t> digests,
                                   std::size_t first,
                                   std::size_t min_records) const -> SyncReply {
  SyncReply reply;
  for (std::size_t i = 0; i < kMemberBuckets; ++i) {
    const std::size_t bucket = (first + i) % kMemberBuckets;
    const std::uint64_t peer_digest =
        bucket < digests.size() ? digests[bucket] : 0;
    if (digests_[bucket] == peer_digest) {
      continue;
    }
    if (reply.records.size() >= min_records) {
      reply.more = true;
      return reply;
    }
    const std::vector<MemberRecord> records = BucketRecords(bucket);
    reply.records.insert(reply.records.end(), records.begin(), records.end());
  }
  return reply;
}

auto MemberTable::BucketRecords(std::size_t bucket) const
    -> std::vector<MemberRecord> {
  std::vector<MemberRecord> records;
  for (const HostId& host : buckets_[bucket]) {
    records.push_back(records_.at(host));
  }
  return records;
}

}  // namespace zinniastep
