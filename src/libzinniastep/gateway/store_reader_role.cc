#include "libzinniastep/gateway/store_reader_role.h"

#include <algorithm>
#include <utility>

namespace zinniastep {

namespace {

// In a fleet of this many hosts or fewer, every host reads the store.
constexpr std::size_t kSmallFleetHosts = 16;
// Hosts of each region of a larger fleet that read for all. The second one is a
// standby: it receives most changes from the first.
constexpr std::size_t kReadersPerRegion = 2;
constexpr char kReaderRankKey[] = "store readers";
// A starting host requests records from its peers first; if it lacks some after
// this time, it reads the store. Peers answer within a few round trips.
constexpr Duration kPeerResponseTime = std::chrono::milliseconds(250);
// A host has met its peers this long after its start.
constexpr Duration kSettleTime = std::chrono::milliseconds(1500);
// When no peer has got a store answer for this long, the next host in rank
// reads the store itself, and one more host after each step: the store may
// reject all readers, or they may be cut off. The timeout is longer than a
// first reader's watch plus the delivery of its answer.
constexpr Duration kReaderTimeout = std::chrono::seconds(3);
constexpr Duration kTakeOverStep = std::chrono::milliseconds(150);
constexpr std::size_t kTakeOverRanks = 40;
// A peer's older answer counts as one of this age, far beyond the timeout.
constexpr std::uint64_t kMostAgeMs = 86'400'000;

}  // namespace

StoreReaderRole::StoreReaderRole(HostId self) : self_(std::move(self)) {}

auto StoreReaderRole::OnStart(Instant now) -> void {
  started_ = now;
  peer_answer_at_ = now;
}

auto StoreReaderRole::OnStoreAnswer(Instant now) -> void {
  own_answer_at_ = now;
}

auto StoreReaderRole::OnDigest(Instant now, const HostDigest& digest) -> void {
  if (digest.store_reader == self_ || digest.store_reader.empty()) {
    return;
  }
  const Instant answered_at = now - std::chrono::milliseconds(std::min(
                                        digest.store_age_ms, kMostAgeMs));
  if (answered_at > peer_answer_at_) {
    peer_reader_ = digest.store_reader;
    peer_answer_at_ = answered_at;
  }
}

auto StoreReaderRole::OnHostsChanged(std::size_t hosts, const HostRing& region)
    -> void {
  hosts_ = hosts;
  rank_ = region.RankOf(self_, kReaderRankKey, kTakeOverRanks);
}

auto StoreReaderRole::ShouldRead(Instant now, bool has_all_kinds) const
    -> bool {
  if (!has_all_kinds) {
    return now - started_ >= kPeerResponseTime;
  }
  if (!IsSettled(now)) {
    return false;
  }
  if (hosts_ <= kSmallFleetHosts || rank_ < kReadersPerRegion) {
    return true;
  }
  const Duration timeout =
      kReaderTimeout +
      kTakeOverStep * static_cast<std::int64_t>(rank_ - kReadersPerRegion);
  return now - peer_answer_at_ > timeout;
}

auto StoreReaderRole::IsSettled(Instant now) const -> bool {
  return now - started_ >= kSettleTime;
}

auto StoreReaderRole::ReadsForOthers() const -> bool {
  return hosts_ > kSmallFleetHosts;
}

auto StoreReaderRole::order() const -> std::size_t {
  return std::min(rank_, kReadersPerRegion);
}

auto StoreReaderRole::FillDigest(Instant now, HostDigest& digest) const
    -> void {
  const bool own_is_newer = own_answer_at_ >= peer_answer_at_;
  digest.store_reader = own_is_newer ? self_ : peer_reader_;
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - std::max(own_answer_at_, peer_answer_at_));
  digest.store_age_ms =
      static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0));
}

}  // namespace zinniastep
