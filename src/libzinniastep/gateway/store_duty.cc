#include "libzinniastep/gateway/store_duty.h"

#include <algorithm>
#include <utility>

namespace zinniastep {

namespace {

// A fleet with this many hosts or fewer reads the store with all of them.
constexpr std::size_t kSmallFleet = 16;
// Hosts of each region of a larger fleet that read for all. The second one
// stands by: it hears of most changes from the first.
constexpr std::size_t kReadersInRegion = 2;
constexpr char kReadersName[] = "store readers";
// A host that starts asks its peers first; when none has brought all records by
// then, it reads the store. Peers answer in some round trips.
constexpr Duration kPeersFirst = std::chrono::milliseconds(250);
// By this long after its start a host has met its peers.
constexpr Duration kSettleTime = std::chrono::milliseconds(1500);
// Without word of a peer that heard from the store for this long, the next host
// in rank reads it itself, and one more after each step: readers may all be
// turned away, or cut off. It is longer than a reader's watch and the way of
// its answer.
constexpr Duration kReaderPatience = std::chrono::seconds(3);
constexpr Duration kTakeOverStep = std::chrono::milliseconds(150);
constexpr std::size_t kTakeOverRanks = 40;

}  // namespace

StoreDuty::StoreDuty(HostId self) : self_(std::move(self)) {}

auto StoreDuty::OnStart(Instant now) -> void {
  started_ = now;
  peers_word_ = now;
}

auto StoreDuty::OnOwnWord(Instant now) -> void {
  own_word_ = now;
}

auto StoreDuty::OnDigest(Instant now, const HostDigest& digest) -> void {
  if (digest.store_reader == self_ || digest.store_reader.empty()) {
    return;
  }
  const Instant heard = now - std::chrono::milliseconds(digest.store_age_ms);
  if (heard > peers_word_) {
    peers_reader_ = digest.store_reader;
    peers_word_ = heard;
  }
}

auto StoreDuty::OnHosts(std::size_t hosts, const HostRing& region) -> void {
  hosts_ = hosts;
  rank_ = region.RankOf(self_, kReadersName, kTakeOverRanks);
}

auto StoreDuty::Reads(Instant now, bool knows_all) const -> bool {
  if (!knows_all) {
    return now - started_ >= kPeersFirst;
  }
  if (!IsSettled(now)) {
    return false;
  }
  if (hosts_ <= kSmallFleet || rank_ < kReadersInRegion) {
    return true;
  }
  const Duration patience =
      kReaderPatience +
      kTakeOverStep * static_cast<std::int64_t>(rank_ - kReadersInRegion);
  return now - peers_word_ > patience;
}

auto StoreDuty::IsSettled(Instant now) const -> bool {
  return now - started_ >= kSettleTime;
}

auto StoreDuty::ReadsForOthers() const -> bool {
  return hosts_ > kSmallFleet;
}

auto StoreDuty::Tell(Instant now, HostDigest& digest) const -> void {
  const bool own_is_newer = own_word_ >= peers_word_;
  digest.store_reader = own_is_newer ? self_ : peers_reader_;
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - std::max(own_word_, peers_word_));
  digest.store_age_ms =
      static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0));
}

}  // namespace zinniastep
