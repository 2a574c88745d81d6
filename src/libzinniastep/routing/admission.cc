#include "libzinniastep/routing/admission.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace zinniastep {

namespace {

constexpr Duration kRetryAfter = std::chrono::seconds(1);
constexpr double kMinShare = 1e-3;

auto Shed(const RequestId& request, std::string code, std::string message)
    -> RequestShed {
  Refusal refusal;
  refusal.code = std::move(code);
  refusal.message = std::move(message);
  refusal.run_state = RunState::kNotRun;
  refusal.retry_after = kRetryAfter;
  return {request, std::move(refusal)};
}

}  // namespace

Admission::Admission(AdmissionOptions options) : options_(options) {}

auto Admission::SetMaxRunning(std::size_t max_running) -> void {
  options_.most_running = max_running;
}

auto Admission::Enqueue(Instant now, const AdmissionRequest& request) -> void {
  const auto [it, is_new] = accounts_.try_emplace(request.account);
  AccountQueue& account = it->second;
  account.share = std::max(kMinShare, request.share);
  if (is_new || account.queue.empty()) {
    account.next_start = std::max(account.next_start, virtual_time_);
  }
  const QueuePosition position{-static_cast<int>(request.priority),
                               ++arrivals_};
  const Instant expires = std::min(request.deadline, now + options_.max_wait);
  account.queue.emplace(position, request.request);
  queued_.emplace(request.request,
                  QueuedRequest{request.account, position, expires});
  by_expiry_.emplace(expires, request.request);
}

auto Admission::Remove(const RequestId& request) -> bool {
  const auto found = queued_.find(request);
  if (found == queued_.end()) {
    return false;
  }
  const auto account = accounts_.find(found->second.account);
  account->second.queue.erase(found->second.position);
  by_expiry_.erase({found->second.expires, request});
  queued_.erase(found);
  return true;
}

auto Admission::ShedFromLargestBacklog(
    std::vector<AdmissionDecision>& decisions) -> void {
  const auto backlog_per_share = [](const auto& entry) {
    return static_cast<double>(entry.second.queue.size()) / entry.second.share;
  };
  const auto account =
      std::ranges::max_element(accounts_, {}, backlog_per_share);
  const RequestId request = account->second.queue.rbegin()->second;
  Remove(request);
  decisions.emplace_back(Shed(request, "overloaded", "too many requests wait"));
}

auto Admission::ShedExpired(Instant now,
                            std::vector<AdmissionDecision>& decisions) -> void {
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    const RequestId request = by_expiry_.begin()->second;
    Remove(request);
    decisions.emplace_back(
        Shed(request, "deadline", "the request waited too long"));
  }
}

auto Admission::AdmitQueued(std::vector<AdmissionDecision>& decisions) -> void {
  while (running_.size() < options_.most_running && !queued_.empty()) {
    auto next = accounts_.end();
    for (auto it = accounts_.begin(); it != accounts_.end(); ++it) {
      if (!it->second.queue.empty() &&
          (next == accounts_.end() ||
           it->second.next_start < next->second.next_start)) {
        next = it;
      }
    }
    AccountQueue& account = next->second;
    const RequestId request = account.queue.begin()->second;
    virtual_time_ = account.next_start;
    account.next_start += 1.0 / account.share;
    Remove(request);
    running_.insert(request);
    decisions.emplace_back(RequestAdmitted{request});
  }
}

auto Admission::Offer(Instant now, const AdmissionRequest& request)
    -> std::vector<AdmissionDecision> {
  std::vector<AdmissionDecision> decisions;
  if (queued_.contains(request.request) || running_.contains(request.request)) {
    return decisions;
  }
  ShedExpired(now, decisions);
  Enqueue(now, request);
  AdmitQueued(decisions);
  if (queued_.size() > options_.most_queued) {
    ShedFromLargestBacklog(decisions);
  }
  if (queued_.contains(request.request)) {
    decisions.emplace_back(RequestQueued{request.request});
  }
  return decisions;
}

auto Admission::Finish(Instant now, const RequestId& request)
    -> std::vector<AdmissionDecision> {
  std::vector<AdmissionDecision> decisions;
  Remove(request);
  running_.erase(request);
  ShedExpired(now, decisions);
  AdmitQueued(decisions);
  return decisions;
}

auto Admission::OnTime(Instant now) -> std::vector<AdmissionDecision> {
  std::vector<AdmissionDecision> decisions;
  ShedExpired(now, decisions);
  AdmitQueued(decisions);
  std::erase_if(accounts_, [&](const auto& entry) {
    return entry.second.queue.empty() &&
           entry.second.next_start <= virtual_time_;
  });
  return decisions;
}

}  // namespace zinniastep
