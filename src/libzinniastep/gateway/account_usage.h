#ifndef LIBZINNIASTEP_GATEWAY_ACCOUNT_USAGE_H_
#define LIBZINNIASTEP_GATEWAY_ACCOUNT_USAGE_H_

#include <cstddef>
#include <map>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"

namespace zinniastep {

// How a request compares with what its account usually sends.
struct AccountStanding {
  // Requests per second that the account usually sends, with a lower bound for
  // accounts that are little known.
  double share = 1.0;
  // The account has sent more than its usual load for some seconds.
  bool is_beyond_usual = false;
};

// Learns how many requests each account usually sends to one service through
// this host. The usual load is an average over minutes and is learned only
// while capacity is sufficient, so that an overload does not become usual.
class AccountUsage {
 public:
  // Counts a request of the account. `is_scarce` is whether the service lacks
  // capacity.
  auto OnRequest(Instant now, const ClientAccountId& account, bool is_scarce)
      -> AccountStanding;

  // The accounts that are remembered.
  [[nodiscard]] auto size() const -> std::size_t { return accounts_.size(); }

 private:
  struct Account {
    // Requests, decayed over the learning time.
    double count = 0.0;
    Duration counted_at{0};
    // Requests that the account may still send as part of its usual load.
    double tokens = 0.0;
    Instant refilled_at;
  };

  // Returns the account, of which the count is up to date.
  auto Find(Instant now, const ClientAccountId& id) -> Account&;
  auto DropUnused() -> void;

  std::map<ClientAccountId, Account> accounts_;
  // Requests of all accounts, decayed over the learning time.
  double total_ = 0.0;
  // Time during which loads were learned, as of `last_`.
  Duration learned_{0};
  Instant last_;
  bool was_scarce_ = true;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_ACCOUNT_USAGE_H_
