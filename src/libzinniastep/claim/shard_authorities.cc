#include "libzinniastep/claim/shard_authorities.h"

namespace zinniastep {

namespace {

// How often this host looks for shards that it has come to hold.
constexpr Duration kAdoptionPeriod = std::chrono::milliseconds(500);

}  // namespace

ShardAuthorities::ShardAuthorities(const ClusterView& cluster,
                                   const ClaimLimits& limits)
    : cluster_(&cluster), limits_(limits) {}

auto ShardAuthorities::OnAsk(Instant now,
                             const PeerRef& from,
                             const ClaimAsk& ask,
                             ClaimOutbox& outbox) -> void {
  if (ShardAuthority* shard = Held(ShardOf(ask.key))) {
    shard->OnAsk(now, from, ask, outbox);
  }
}

auto ShardAuthorities::OnReport(Instant now,
                                const PeerRef& from,
                                const ClaimReport& report,
                                ClaimOutbox& outbox) -> void {
  if (ShardAuthority* shard = Held(ShardOf(report.key))) {
    shard->OnReport(now, from, report, outbox);
  }
}

auto ShardAuthorities::OnTime(Instant now,
                              ClaimOutbox& outbox,
                              Effects& effects) -> void {
  if (now >= next_adoption_) {
    next_adoption_ = now + kAdoptionPeriod;
    AdoptAll();
  }
  for (auto& [number, shard] : shards_) {
    shard.OnTime(now, outbox, effects);
  }
}

auto ShardAuthorities::AdoptAll() -> void {
  for (std::uint32_t shard = 0; shard < kKeyShards; ++shard) {
    [[maybe_unused]] const ShardAuthority* held = Held(shard);
  }
}

auto ShardAuthorities::OnStore(Instant now,
                               const StoreAnswered& answered,
                               ClaimOutbox& outbox,
                               Effects& effects) -> void {
  for (auto& [number, shard] : shards_) {
    if (shard.OnStore(now, answered, outbox, effects)) {
      return;
    }
  }
}

auto ShardAuthorities::OnHostLost(Instant now, Incarnation incarnation)
    -> void {
  for (auto& [number, shard] : shards_) {
    shard.OnHostLost(now, incarnation);
  }
}

auto ShardAuthorities::Held(std::uint32_t shard) -> ShardAuthority* {
  const auto holder = cluster_->KeyShardHolder(shard);
  if (!holder || holder->incarnation != cluster_->self().incarnation) {
    return nullptr;
  }
  return &shards_.try_emplace(shard, shard, *cluster_, limits_, tokens_)
              .first->second;
}

}  // namespace zinniastep
