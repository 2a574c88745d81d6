#include "libzinniastep/claim/waiting_room.h"

#include <algorithm>
#include <utility>

namespace zinniastep {

WaitingRoom::WaitingRoom(std::size_t per_key, std::size_t keys)
    : per_key_(per_key), keys_(keys) {}

auto WaitingRoom::Add(const Waiter& waiter) -> void {
  const KeyDigest& key = waiter.ask.key;
  if (!waiters_.contains(key) && waiters_.size() >= keys_) {
    return;
  }
  std::vector<Waiter>& line = waiters_[key];
  const bool waits =
      std::any_of(line.begin(), line.end(), [&waiter](const Waiter& other) {
        return other.ask.request == waiter.ask.request;
      });
  if (!waits && line.size() < per_key_) {
    line.push_back(waiter);
  }
}

auto WaitingRoom::Remove(const KeyDigest& key, const RequestId& request)
    -> void {
  const auto found = waiters_.find(key);
  if (found == waiters_.end()) {
    return;
  }
  std::erase_if(found->second, [&request](const Waiter& waiter) {
    return waiter.ask.request == request;
  });
  if (found->second.empty()) {
    waiters_.erase(found);
  }
}

auto WaitingRoom::Take(const KeyDigest& key) -> std::vector<Waiter> {
  const auto found = waiters_.find(key);
  if (found == waiters_.end()) {
    return {};
  }
  std::vector<Waiter> line = std::move(found->second);
  waiters_.erase(found);
  return line;
}

}  // namespace zinniastep
