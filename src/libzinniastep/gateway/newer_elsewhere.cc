#include "libzinniastep/gateway/newer_elsewhere.h"

namespace zinniastep {

namespace {

// The store's own watch usually tells of a change by then.
constexpr Duration kWatchHeadStart = std::chrono::milliseconds(200);
// A near peer usually has a change by then: some steps from peer to peer.
constexpr Duration kNearHeadStart = std::chrono::milliseconds(250);
// A peer that answers does so within a round trip and the time that a large
// state takes on a slow link.
constexpr Duration kAskAgain = std::chrono::milliseconds(400);

}  // namespace

auto NewerElsewhere::OnTold(Instant now,
                            RecordKind kind,
                            const PeerRef& peer,
                            bool is_near) -> void {
  const auto [found, is_new] = newer_.try_emplace(kind);
  Newer& newer = found->second;
  if (is_new) {
    newer = {peer, is_near, false, now, std::nullopt};
  } else if (is_near || !newer.is_near) {
    newer.peer = peer;
    newer.is_near = is_near;
  }
}

auto NewerElsewhere::OnUnfit(Instant now, RecordKind kind, const PeerRef& peer)
    -> void {
  newer_[kind] = {peer, true, true, now, std::nullopt};
}

auto NewerElsewhere::OnReceived(RecordKind kind) -> void {
  newer_.erase(kind);
}

auto NewerElsewhere::Due(Instant now, bool reads_store)
    -> std::vector<Question> {
  std::vector<Question> due;
  for (auto& [kind, newer] : newer_) {
    const Duration head_start = newer.whole     ? Duration(0)
                                : reads_store   ? kWatchHeadStart
                                : newer.is_near ? Duration(0)
                                                : kNearHeadStart;
    const bool is_due = newer.asked_at.has_value()
                            ? now - *newer.asked_at >= kAskAgain
                            : now - newer.told_at >= head_start;
    if (is_due) {
      due.push_back(
          {kind, newer.peer, newer.whole, newer.asked_at.has_value()});
      newer.asked_at = now;
    }
  }
  return due;
}

}  // namespace zinniastep
