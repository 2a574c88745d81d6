#include "libzinniastep/claim/replay_cache.h"

#include <utility>

namespace zinniastep {

ReplayCache::ReplayCache(const ClaimLimits& limits) : limits_(limits) {}

auto ReplayCache::Keep(Instant now, const KeyDigest& key, SharedAnswer answer)
    -> void {
  if (answer == nullptr || answer->body.size() > limits_.longest_replay ||
      answers_.contains(key)) {
    return;
  }
  bytes_ += answer->body.size();
  answers_.emplace(key, std::move(answer));
  order_.push_back({now, key});
  while (bytes_ > limits_.replay_bytes ||
         answers_.size() > limits_.replay_answers) {
    DropOldest();
  }
}

auto ReplayCache::Find(const KeyDigest& key) const -> SharedAnswer {
  const auto found = answers_.find(key);
  return found == answers_.end() ? nullptr : found->second;
}

auto ReplayCache::OnTime(Instant now) -> void {
  while (!order_.empty() &&
         now - order_.front().since > limits_.replay_retention) {
    DropOldest();
  }
}

auto ReplayCache::DropOldest() -> void {
  const auto found = answers_.find(order_.front().key);
  bytes_ -= found->second->body.size();
  answers_.erase(found);
  order_.pop_front();
}

}  // namespace zinniastep
