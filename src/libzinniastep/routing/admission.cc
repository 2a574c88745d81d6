#include "libzinniastep/routing/admission.h"

#include <algorithm>
#include <chrono>
#include <limits>
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

auto Admission::ForgetShares() -> void {
  std::erase_if(accounts_,
                [](const auto& entry) { return entry.second.queue.empty(); });
}

auto Admission::Enqueue(Instant now, const AdmissionRequest& request) -> void {
  const auto [it, is_new] = accounts_.try_emplace(request.account);
  AccountQueue& account = it->second;
  account.share = std::max(kMinShare, request.share);
  if (is_new || account.queue.empty()) {
    account.next_start = std::max(account.next_start, virtual_time_);
  }
  const Instant expires = std::min(request.deadline, now + options_.max_wait);
  const QueuePosition position{
      -static_cast<int>(request.priority), request.rank,
      options_.urgent_first ? expires : Instant(), ++arrivals_};
  account.queue.emplace(position, request.request);
  queued_.emplace(request.request, QueuedRequest{request.account, position,
                                                 expires, request.bytes});
  queued_bytes_ += request.bytes;
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
  queued_bytes_ -= found->second.bytes;
  queued_.erase(found);
  return true;
}

auto Admission::ShedFromLargestBacklog(
    std::vector<AdmissionDecision>& decisions) -> void {
  const auto shed_first = [this](const auto& entry) {
    const AccountQueue& account = entry.second;
    const Urgency least_urgent =
        options_.urgent_first && !account.queue.empty()
            ? UrgencyOf(account.queue.rbegin()->first)
            : Urgency(std::numeric_limits<int>::min(), 0);
    return std::pair(least_urgent,
                     static_cast<double>(account.queue.size()) / account.share);
  };
  const auto account = std::ranges::max_element(accounts_, {}, shed_first);
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

auto Admission::IsOverfull() const -> bool {
  return queued_.size() > options_.most_queued ||
         queued_bytes_ > options_.most_queued_bytes;
}

auto Admission::NextAccount(bool by_share) -> Accounts::iterator {
  const auto order = [by_share](const AccountQueue& account) {
    return std::pair(
        by_share ? Urgency() : UrgencyOf(account.queue.begin()->first),
        account.next_start);
  };
  auto next = accounts_.end();
  for (auto it = accounts_.begin(); it != accounts_.end(); ++it) {
    if (!it->second.queue.empty() &&
        (next == accounts_.end() || order(it->second) < order(next->second))) {
      next = it;
    }
  }
  return next;
}

auto Admission::AdmitQueued(std::vector<AdmissionDecision>& decisions) -> void {
  while (running_.size() < options_.most_running && !queued_.empty()) {
    const bool is_fair_turn = options_.urgent_first && options_.fair_turn > 0 &&
                              ++admissions_ % options_.fair_turn == 0;
    const auto next = NextAccount(!options_.urgent_first || is_fair_turn);
    AccountQueue& account = next->second;
    const auto position =
        is_fair_turn ? std::ranges::min_element(account.queue, {},
                                                [](const auto& entry) {
                                                  return entry.first.expires;
                                                })
                     : account.queue.begin();
    const RequestId request = position->second;
    virtual_time_ = std::max(virtual_time_, account.next_start);
    account.next_start += 1.0 / account.share;
    Remove(request);
    running_.insert(request);
    decisions.emplace_back(RequestAdmitted{request});
  }
}

auto Admission::AheadOf(const AdmissionRequest& request) const -> double {
  const Urgency urgency(-static_cast<int>(request.priority), request.rank);
  // Requests of an account that are as urgent as this one, or more urgent.
  struct Before {
    double more = 0.0;
    double equal = 0.0;
  };
  const auto count = [&](const AccountQueue& account) {
    Before before;
    for (const auto& [position, queued] : account.queue) {
      if (UrgencyOf(position) > urgency) {
        break;
      }
      (UrgencyOf(position) < urgency ? before.more : before.equal) += 1.0;
    }
    return before;
  };
  const auto own = accounts_.find(request.account);
  const Before mine = own == accounts_.end() ? Before() : count(own->second);
  double ahead = mine.more + mine.equal;
  for (const auto& [id, account] : accounts_) {
    if (id != request.account && !account.queue.empty()) {
      const Before theirs = count(account);
      // While this account's requests are admitted, an account of the same
      // urgency gets its share.
      ahead += theirs.more +
               std::min(theirs.equal, (mine.equal + 1.0) * account.share /
                                          std::max(kMinShare, request.share));
    }
  }
  return ahead;
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
  while (IsOverfull()) {
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
