#ifndef LIBZINNIASTEP_MEMBERSHIP_MESSAGES_H_
#define LIBZINNIASTEP_MEMBERSHIP_MESSAGES_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/core/host_identity.h"

namespace zinniastep {

// The state that a record assigns to a host. Among records of the same round
// and incarnation, the higher value wins.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kLost };

// One host's entry in the membership table, also sent in peer messages.
struct MemberRecord {
  HostIdentity identity;
  // Version of the record, raised only by the host itself to refute a wrong
  // record about it. Of two records of a host, the higher round wins.
  std::uint32_t round = 0;
  MemberState state = MemberState::kAlive;
  // The host announced that it shuts down.
  bool leaving = false;

  auto operator==(const MemberRecord&) const -> bool = default;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(identity, round, state, leaving);
  }
};

// Probes whether a host is alive. The receiver replies with an Ack.
struct Ping {
  std::uint64_t sequence = 0;
  // For an indirect probe, the host that requested it; otherwise empty.
  HostId origin;
  std::vector<MemberRecord> records;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(sequence, origin, records);
  }
};

// Replies to a Ping. The sender of the Ping forwards the Ack to the origin when
// the probe was indirect.
struct Ack {
  std::uint64_t sequence = 0;
  HostId origin;
  std::vector<MemberRecord> records;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(sequence, origin, records);
  }
};

// Requests an indirect probe of a target that did not answer the sender.
struct PingRequest {
  std::uint64_t sequence = 0;
  HostId target;
  std::vector<MemberRecord> records;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(sequence, target, records);
  }
};

// Requests the records of buckets in which the receiver's table differs from
// the sender's. A joining process sends the digests of a table that holds only
// its own record.
struct SyncRequest {
  MemberRecord sender;
  // One digest per bucket, in bucket order.
  std::vector<std::uint64_t> digests;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(sender, digests);
  }
};

// Replies to a SyncRequest with the records of whole buckets.
struct SyncReply {
  std::vector<MemberRecord> records;
  // Whether further buckets differ that this reply does not include.
  bool more = false;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(records, more);
  }
};

// The peer messages of the membership protocol.
using MembershipMessage = std::
    variant<std::monostate, Ping, Ack, PingRequest, SyncRequest, SyncReply>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_MEMBERSHIP_MESSAGES_H_
