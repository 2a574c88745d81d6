#include "libzinniastep/gateway/peer_fetch_scheduler.h"

namespace zinniastep {

namespace {

// This host's own watch of the store usually returns a change within this time.
constexpr Duration kWatchDelay = std::chrono::milliseconds(200);
// A peer of the same region usually has a change within this time, after some
// steps from peer to peer.
constexpr Duration kSameRegionDelay = std::chrono::milliseconds(250);
// An unanswered request is repeated after this time: a peer's answer takes a
// round trip plus the transfer of a large state on a slow link.
constexpr Duration kRetryDelay = std::chrono::milliseconds(400);

}  // namespace

auto PeerFetchScheduler::OnNewerState(Instant now,
                                      RecordKind kind,
                                      const PeerRef& peer,
                                      bool is_near) -> void {
  const auto [found, is_new] = pending_.try_emplace(kind);
  Pending& pending = found->second;
  if (is_new) {
    pending = {peer, is_near, false, now, std::nullopt};
  } else if (is_near || !pending.is_near) {
    pending.peer = peer;
    pending.is_near = is_near;
  }
}

auto PeerFetchScheduler::OnDeltaMismatch(Instant now,
                                         RecordKind kind,
                                         const PeerRef& peer) -> void {
  pending_[kind] = {peer, true, true, now, std::nullopt};
}

auto PeerFetchScheduler::OnReceived(RecordKind kind) -> void {
  pending_.erase(kind);
}

auto PeerFetchScheduler::TakeDue(Instant now, bool reads_store)
    -> std::vector<Fetch> {
  std::vector<Fetch> due;
  for (auto& [kind, pending] : pending_) {
    const Duration delay = pending.full_state ? Duration(0)
                           : reads_store      ? kWatchDelay
                           : pending.is_near  ? Duration(0)
                                              : kSameRegionDelay;
    const bool is_due = pending.requested_at.has_value()
                            ? now - *pending.requested_at >= kRetryDelay
                            : now - pending.reported_at >= delay;
    if (is_due) {
      due.push_back({kind, pending.peer, pending.full_state,
                     pending.requested_at.has_value()});
      pending.requested_at = now;
    }
  }
  return due;
}

}  // namespace zinniastep
