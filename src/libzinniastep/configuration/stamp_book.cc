#include "libzinniastep/configuration/stamp_book.h"

#include <algorithm>

namespace zinniastep {

auto StampBook::For(const HostId& peer, Instant now) -> StampPair {
  if (issued_[last_].stamp == 0 || now - issued_[last_].at >= kReuse) {
    last_ = (last_ + 1) % kRemembered;
    issued_[last_] = {next_, now};
    next_ = next_ + 1 == 0 ? 1 : next_ + 1;
  }
  const auto known = peer_stamps_.find(peer);
  return {issued_[last_].stamp,
          known == peer_stamps_.end() ? 0 : known->second};
}

auto StampBook::Receive(const HostId& peer, const StampPair& stamps)
    -> std::optional<Instant> {
  peer_stamps_[peer] = stamps.stamp;
  if (stamps.echo == 0) {
    return std::nullopt;
  }
  const auto found = std::ranges::find(issued_, stamps.echo, &Issued::stamp);
  return found == issued_.end() ? std::nullopt : std::optional(found->at);
}

auto StampBook::KeepOnly(const std::set<HostId>& peers) -> void {
  std::erase_if(peer_stamps_, [&peers](const auto& entry) {
    return !peers.contains(entry.first);
  });
}

}  // namespace zinniastep
