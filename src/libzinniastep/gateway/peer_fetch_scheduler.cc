#include "libzinniastep/gateway/peer_fetch_scheduler.h"

#include <algorithm>
#include <utility>

namespace zinniastep {

namespace {

// This host's own watch of the store usually returns a change within this time.
constexpr Duration kWatchDelay = std::chrono::milliseconds(200);
// A peer of the same region usually has a change within this time, after some
// steps from peer to peer.
constexpr Duration kSameRegionDelay = std::chrono::milliseconds(250);
// An unanswered request is repeated after this time: a peer's answer takes a
// round trip plus the transfer.
constexpr Duration kRetryDelay = std::chrono::milliseconds(400);
// Requests after which each further delay is twice as long: the first two may
// have been lost.
constexpr std::uint32_t kRequestsBeforeBackoff = 2;
constexpr std::uint32_t kMaxDoublings = 2;
// A host without any state turns to the store soon, so it asks a second peer
// before that.
constexpr Duration kMissingRetryDelay = std::chrono::milliseconds(100);

}  // namespace

auto PeerFetchScheduler::OnMissing(Instant now, RecordKind kind) -> void {
  pending_.try_emplace(
      kind, Pending{.is_near = true, .is_missing = true, .since = now});
}

auto PeerFetchScheduler::OnNewerState(Instant now,
                                      RecordKind kind,
                                      const PeerRef& peer,
                                      bool is_near) -> void {
  const auto [found, is_new] = pending_.try_emplace(kind);
  Pending& pending = found->second;
  if (is_new) {
    pending = {.peer = peer, .is_near = is_near, .since = now};
  } else if (is_near || !pending.is_near || !pending.peer.has_value()) {
    pending.peer = peer;
    pending.is_near = is_near;
  }
}

auto PeerFetchScheduler::OnDeltaMismatch(Instant now,
                                         RecordKind kind,
                                         const PeerRef& peer) -> void {
  pending_[kind] = {
      .peer = peer, .is_near = true, .full_state = true, .since = now};
}

auto PeerFetchScheduler::OnUnreadable(Instant now, RecordKind kind) -> void {
  Pending& pending = pending_[kind];
  pending.full_state = true;
  pending.plain = true;
  pending.since = now;
  pending.requests = std::max(pending.requests, 1U);
}

auto PeerFetchScheduler::OnReceived(RecordKind kind) -> void {
  pending_.erase(kind);
}

auto PeerFetchScheduler::Delay(const Pending& pending, bool reads_store)
    -> Duration {
  if (pending.requests == 0) {
    return pending.full_state || pending.is_missing ? Duration(0)
           : reads_store                            ? kWatchDelay
           : pending.is_near                        ? Duration(0)
                                                    : kSameRegionDelay;
  }
  if (pending.is_missing && pending.requests == 1) {
    return kMissingRetryDelay;
  }
  const std::uint32_t doublings =
      pending.requests <= kRequestsBeforeBackoff
          ? 0
          : std::min(pending.requests - kRequestsBeforeBackoff, kMaxDoublings);
  return kRetryDelay * (1U << doublings);
}

auto PeerFetchScheduler::TakeDue(Instant now, bool reads_store)
    -> std::vector<Fetch> {
  std::vector<Fetch> due;
  for (auto& [kind, pending] : pending_) {
    if (now - pending.since < Delay(pending, reads_store)) {
      continue;
    }
    due.push_back({kind, std::exchange(pending.peer, std::nullopt),
                   pending.full_state, pending.plain, pending.requests});
    pending.since = now;
    pending.requests += 1;
  }
  return due;
}

}  // namespace zinniastep
