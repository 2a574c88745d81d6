#include "libzinniastep/steward/ask_queue.h"

#include <algorithm>
#include <utility>

namespace zinniastep {

namespace {

constexpr double kLeastShare = 0.001;

auto CostOf(const CreditRequest& request) -> double {
  return 1.0 / std::max(request.share, kLeastShare);
}

auto IsServedBefore(const WaitingAsk& a, const WaitingAsk& b) -> bool {
  if (a.request.priority != b.request.priority) {
    return a.request.priority > b.request.priority;
  }
  return a.order < b.order;
}

}  // namespace

auto AskQueue::Add(Instant now, const CreditRequest& request)
    -> std::optional<CreditRequest> {
  double& account_time = account_time_[request.account];
  account_time = std::max(account_time, virtual_time_) + CostOf(request);
  WaitingAsk ask{request, now + Duration(request.wait_microseconds),
                 account_time};
  const auto place = std::find_if(
      asks_.begin(), asks_.end(),
      [&](const WaitingAsk& other) { return IsServedBefore(ask, other); });
  asks_.insert(place, std::move(ask));
  if (asks_.size() <= bound_) {
    return std::nullopt;
  }
  CreditRequest shed = std::move(asks_.back().request);
  asks_.pop_back();
  account_time_[shed.account] -= CostOf(shed);
  ForgetIdleAccounts();
  return shed;
}

auto AskQueue::Refresh(const CreditRequest& request) -> bool {
  for (WaitingAsk& ask : asks_) {
    if (ask.request.ask == request.ask) {
      ask.request.attempt = std::max(ask.request.attempt, request.attempt);
      return true;
    }
  }
  return false;
}

auto AskQueue::Remove(const AskId& ask) -> void {
  asks_.remove_if(
      [&](const WaitingAsk& one) { return one.request.ask == ask; });
}

auto AskQueue::TakeExpired(Instant now) -> std::vector<CreditRequest> {
  std::vector<CreditRequest> expired;
  asks_.remove_if([&](const WaitingAsk& one) {
    if (now < one.give_up) {
      return false;
    }
    expired.push_back(one.request);
    return true;
  });
  return expired;
}

auto AskQueue::TakeAll() -> std::vector<CreditRequest> {
  std::vector<CreditRequest> taken;
  for (WaitingAsk& ask : asks_) {
    taken.push_back(std::move(ask.request));
  }
  asks_.clear();
  return taken;
}

auto AskQueue::Served(const WaitingAsk& ask) -> void {
  virtual_time_ = std::max(virtual_time_, ask.order);
  ForgetIdleAccounts();
}

auto AskQueue::ForgetIdleAccounts() -> void {
  if (account_time_.size() <= bound_) {
    return;
  }
  std::erase_if(account_time_, [this](const auto& entry) {
    return entry.second <= virtual_time_;
  });
}

}  // namespace zinniastep
