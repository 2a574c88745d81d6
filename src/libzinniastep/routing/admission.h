#ifndef LIBZINNIASTEP_ROUTING_ADMISSION_H_
#define LIBZINNIASTEP_ROUTING_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/core/call.h"

namespace zinniastep {

// Limits of the admission control of one host.
struct AdmissionOptions {
  // Upper bounds of the requests that run at once and of those in the queue.
  std::size_t most_running = 256;
  std::size_t most_queued = 1024;
  // Upper bound of AdmissionRequest::bytes of all requests in the queue.
  std::size_t most_queued_bytes = std::numeric_limits<std::size_t>::max();
  // Longest time in the queue, also for a request with a later deadline.
  Duration max_wait{10'000'000};
  // Admits by priority and rank first and by fair shares next; of one account
  // those with the least time left. Otherwise fair shares come first, and the
  // requests of one account are admitted by priority, rank and age.
  bool urgent_first = false;
  // With `urgent_first`, every so many admissions one goes by fair shares and
  // time left alone, so that less urgent requests are not starved. Zero
  // disables this.
  std::uint32_t fair_turn = 0;
};

// A request that is offered to admission control.
struct AdmissionRequest {
  RequestId request;
  ClientAccountId account;
  // Weight of the account in fair queueing.
  double share = 1.0;
  Priority priority = Priority::kNormal;
  // Order among requests of the same priority; lower ranks are admitted first.
  std::uint32_t rank = 0;
  // Memory that the request holds while it is queued.
  std::size_t bytes = 0;
  // Time at which the caller stops waiting.
  Instant deadline;
};

// The request may start now.
struct RequestAdmitted {
  RequestId request;
};
// The request is in the queue; a later decision admits or sheds it.
struct RequestQueued {
  RequestId request;
};
// The request was rejected and has never run.
struct RequestShed {
  RequestId request;
  Refusal refusal;
};
using AdmissionDecision =
    std::variant<RequestAdmitted, RequestQueued, RequestShed>;

// Divides the capacity of this host between accounts. Accounts are served in
// proportion to their shares (start-time fair queueing), the requests of one
// account by priority and age; AdmissionOptions::urgent_first changes the
// order. When the queue exceeds its limit, the account with the most queued
// requests per share loses its newest request of the lowest priority; with
// `urgent_first`, it is the account with the least urgent request, and next
// with the most queued requests per share.
class Admission {
 public:
  explicit Admission(AdmissionOptions options = {});

  // Admits, queues or sheds a new request; may shed a queued request of any
  // account to make room.
  [[nodiscard]] auto Offer(Instant now, const AdmissionRequest& request)
      -> std::vector<AdmissionDecision>;

  // Counts a request as running without regard to the limit.
  auto Start(const RequestId& request) -> void { running_.insert(request); }

  // Returns how many queued requests are expected to be admitted before the
  // request if it is queued now.
  [[nodiscard]] auto AheadOf(const AdmissionRequest& request) const -> double;

  // Releases the slot of a running request, or removes a queued request, and
  // admits the next queued requests.
  [[nodiscard]] auto Finish(Instant now, const RequestId& request)
      -> std::vector<AdmissionDecision>;

  // Sheds queued requests that have expired and fills free slots.
  [[nodiscard]] auto OnTime(Instant now) -> std::vector<AdmissionDecision>;

  // Changes the number of requests that run at once; running requests
  // continue.
  auto SetMaxRunning(std::size_t max_running) -> void;

  // Forgets what accounts without queued requests were served so far.
  auto ForgetShares() -> void;

  [[nodiscard]] auto IsRunning(const RequestId& request) const -> bool {
    return running_.contains(request);
  }

  [[nodiscard]] auto running() const -> std::size_t { return running_.size(); }
  [[nodiscard]] auto queued() const -> std::size_t { return queued_.size(); }

 private:
  // Orders the requests of an account.
  struct QueuePosition {
    int negated_priority = 0;
    std::uint32_t rank = 0;
    // Time at which the request expires; the same for all requests that are
    // ordered by age.
    Instant expires;
    std::uint64_t arrival = 0;
    auto operator<=>(const QueuePosition&) const = default;
  };
  // A request in the queue.
  struct QueuedRequest {
    ClientAccountId account;
    QueuePosition position;
    Instant expires;
    std::size_t bytes = 0;
  };
  // The queued requests of one account.
  struct AccountQueue {
    double share = 1.0;
    // Virtual time at which the next request of the account starts.
    double next_start = 0.0;
    std::map<QueuePosition, RequestId> queue;
  };

  using Accounts = std::map<ClientAccountId, AccountQueue>;
  // Priority and rank, lowest first.
  using Urgency = std::pair<int, std::uint32_t>;

  [[nodiscard]] static auto UrgencyOf(const QueuePosition& position)
      -> Urgency {
    return {position.negated_priority, position.rank};
  }
  [[nodiscard]] auto IsOverfull() const -> bool;
  // Returns the account whose request is admitted next.
  [[nodiscard]] auto NextAccount(bool by_share) -> Accounts::iterator;
  auto Enqueue(Instant now, const AdmissionRequest& request) -> void;
  auto Remove(const RequestId& request) -> bool;
  auto ShedFromLargestBacklog(std::vector<AdmissionDecision>& decisions)
      -> void;
  auto ShedExpired(Instant now, std::vector<AdmissionDecision>& decisions)
      -> void;
  auto AdmitQueued(std::vector<AdmissionDecision>& decisions) -> void;

  AdmissionOptions options_;
  std::set<RequestId> running_;
  std::map<RequestId, QueuedRequest> queued_;
  Accounts accounts_;
  std::set<std::pair<Instant, RequestId>> by_expiry_;
  double virtual_time_ = 0.0;
  std::uint64_t arrivals_ = 0;
  std::uint64_t admissions_ = 0;
  std::size_t queued_bytes_ = 0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_ROUTING_ADMISSION_H_
