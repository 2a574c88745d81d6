#include "libzinniastep/runtime/call_table.h"

#include <utility>

namespace zinniastep {

auto CallTable::Add(OpenCall call) -> CallId {
  const std::lock_guard lock(mutex_);
  const CallId id = ++last_;
  call.id = id;
  calls_[id] = std::make_shared<const OpenCall>(std::move(call));
  return id;
}

auto CallTable::Find(CallId id) const -> std::shared_ptr<const OpenCall> {
  const std::lock_guard lock(mutex_);
  const auto found = calls_.find(id);
  return found == calls_.end() ? nullptr : found->second;
}

auto CallTable::Remove(CallId id) -> void {
  const std::lock_guard lock(mutex_);
  calls_.erase(id);
}

auto CallTable::size() const -> std::size_t {
  const std::lock_guard lock(mutex_);
  return calls_.size();
}

}  // namespace zinniastep
