#ifndef LIBZINNIASTEP_TRAFFIC_DELIVERY_WATCH_H_
#define LIBZINNIASTEP_TRAFFIC_DELIVERY_WATCH_H_

#include <cstddef>

#include "libzinniastep/base/time.h"

namespace zinniastep {

// Returns how long bytes of a request may stay undelivered, so that none
// reaches a server later than `leaving_time` after the server began to leave. A
// `leaving_time` of zero sets no bound.
[[nodiscard]] auto UndeliveredLimit(Duration leaving_time) -> Duration;

// Finds out when the peer of a connection takes no more of the bytes that were
// sent to it.
class DeliveryWatch {
 public:
  explicit DeliveryWatch(Duration limit) : limit_(limit) {}

  // Bytes begin to go out.
  auto Begin(Instant now) -> void;

  // Notes how many bytes the peer has still to take, and returns whether it
  // has taken none for the limit.
  auto IsStalled(Instant now, std::size_t undelivered) -> bool;

  // The time until the next look.
  [[nodiscard]] auto UntilNextLook(Instant now) const -> Duration;

 private:
  Duration limit_;
  Instant progress_at_;
  std::size_t undelivered_ = 0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_TRAFFIC_DELIVERY_WATCH_H_
