#ifndef LIBZINNIASTEP_NODE_SHUTDOWN_H_
#define LIBZINNIASTEP_NODE_SHUTDOWN_H_

#include <cstddef>
#include <optional>

#include "libzinniastep/base/time.h"

namespace zinniastep {

// What a graceful shutdown still waits for.
struct OpenWork {
  std::size_t requests = 0;
  std::size_t claim_reports = 0;
  std::size_t bills = 0;

  [[nodiscard]] auto none() const -> bool {
    return requests == 0 && claim_reports == 0 && bills == 0;
  }
};

// A graceful shutdown: no new work, all open work to its end, and no end
// before callers have forgotten this host's address. Requests that are still
// open shortly before the longest time are ended, so that callers are told.
class Shutdown {
 public:
  Shutdown(Duration address_time_to_live, Duration longest);

  // Begins the shutdown; a second call changes nothing. Returns whether it
  // began now.
  auto Begin(Instant now) -> bool;

  [[nodiscard]] auto begun() const -> bool { return began_.has_value(); }

  // Returns true once, when the requests that are still open must be ended. The
  // time from then on is for writing their answers.
  auto MustEndRequests(Instant now) -> bool;

  // Returns true once, when the process may end.
  auto IsOver(Instant now, const OpenWork& open) -> bool;

 private:
  Duration address_time_to_live_;
  Duration longest_;
  std::optional<Instant> began_;
  bool ending_requests_ = false;
  bool over_ = false;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_NODE_SHUTDOWN_H_
