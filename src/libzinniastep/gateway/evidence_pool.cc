#include "libzinniastep/gateway/evidence_pool.h"

namespace zinniastep {

namespace {

// Evidence of a peer is dropped if the peer sends none for this long.
constexpr Duration kEvidenceLifetime = std::chrono::minutes(2);

}  // namespace

auto EvidencePool::AddOwn(const std::vector<VersionRow>& rows) -> void {
  for (const VersionRow& row : rows) {
    own_[row.key].Add(row.counts);
    all_[row.key].Add(row.counts);
  }
}

auto EvidencePool::ReplacePeerEvidence(Instant now,
                                       Incarnation peer,
                                       const std::vector<VersionRow>& rows)
    -> void {
  PeerRows& known = peers_[peer];
  SubtractPeer(known);
  known = {now, rows};
  for (const VersionRow& row : rows) {
    all_[row.key].Add(row.counts);
  }
}

auto EvidencePool::SubtractPeer(const PeerRows& peer) -> void {
  for (const VersionRow& row : peer.rows) {
    all_[row.key].Subtract(row.counts);
  }
}

auto EvidencePool::Expire(Instant now) -> void {
  std::erase_if(peers_, [&](const auto& item) {
    if (now - item.second.received_at <= kEvidenceLifetime) {
      return false;
    }
    SubtractPeer(item.second);
    return true;
  });
}

}  // namespace zinniastep
