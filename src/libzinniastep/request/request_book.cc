#include "libzinniastep/request/request_book.h"

#include <utility>

namespace zinniastep {

auto RequestBook::NextId() -> RequestId {
  return RequestId{incarnation_, ++last_};
}

auto RequestBook::Add(Request request) -> Request& {
  by_call_[request.arrival.call] = request.id;
  const RequestId id = request.id;
  return requests_.insert_or_assign(id, std::move(request)).first->second;
}

auto RequestBook::Find(const RequestId& id) -> Request* {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

auto RequestBook::FindCall(CallId call) -> Request* {
  const auto found = by_call_.find(call);
  return found == by_call_.end() ? nullptr : Find(found->second);
}

auto RequestBook::Remove(const RequestId& id) -> void {
  const auto found = requests_.find(id);
  if (found != requests_.end()) {
    by_call_.erase(found->second.arrival.call);
    requests_.erase(found);
  }
}

auto RequestBook::DueToAsk(Instant now) const -> std::vector<RequestId> {
  std::vector<RequestId> due;
  for (const auto& [id, request] : requests_) {
    if (request.phase == RequestPhase::kWaiting && request.ask_again <= now) {
      due.push_back(id);
    }
  }
  return due;
}

auto RequestBook::All() const -> std::vector<RequestId> {
  std::vector<RequestId> all;
  all.reserve(requests_.size());
  for (const auto& [id, request] : requests_) {
    all.push_back(id);
  }
  return all;
}

}  // namespace zinniastep
