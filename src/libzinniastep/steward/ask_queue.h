#ifndef LIBZINNIASTEP_STEWARD_ASK_QUEUE_H_
#define LIBZINNIASTEP_STEWARD_ASK_QUEUE_H_

#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/steward/messages.h"

namespace zinniastep {

// An ask that waits for a backend server.
struct WaitingAsk {
  CreditRequest request;
  Instant give_up;
  // Its account's virtual time: lower values are served first.
  double order = 0.0;
};

// Asks that wait at a steward: urgent ones first, and among equals each
// account by its weight. When full it sheds what it would serve last.
class AskQueue {
 public:
  explicit AskQueue(std::size_t bound) : bound_(bound) {}

  // Adds an ask. Returns the ask that had to be shed for it, if any, which may
  // be the new one.
  auto Add(Instant now, const CreditRequest& request)
      -> std::optional<CreditRequest>;

  // Returns whether the ask waits already, and takes over its newest attempt.
  auto Refresh(const CreditRequest& request) -> bool;

  auto Remove(const AskId& ask) -> void;

  // Removes and returns the asks whose time is over.
  auto TakeExpired(Instant now) -> std::vector<CreditRequest>;

  // Removes and returns all asks.
  auto TakeAll() -> std::vector<CreditRequest>;

  // Calls `serve` for each ask in the order of service; an ask for which it
  // returns true is removed.
  template <class Serve>
  auto ServeEach(Serve serve) -> void {
    for (auto it = asks_.begin(); it != asks_.end();) {
      if (serve(it->request)) {
        Served(*it);
        it = asks_.erase(it);
      } else {
        ++it;
      }
    }
  }

  [[nodiscard]] auto size() const -> std::size_t { return asks_.size(); }
  [[nodiscard]] auto asks() const -> const std::list<WaitingAsk>& {
    return asks_;
  }

 private:
  auto Served(const WaitingAsk& ask) -> void;
  auto ForgetIdleAccounts() -> void;

  std::size_t bound_;
  std::list<WaitingAsk> asks_;
  // The virtual time up to which each account has asked.
  std::map<ClientAccountId, double> account_time_;
  double virtual_time_ = 0.0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_STEWARD_ASK_QUEUE_H_
