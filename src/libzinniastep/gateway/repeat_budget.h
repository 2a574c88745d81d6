#ifndef LIBZINNIASTEP_GATEWAY_REPEAT_BUDGET_H_
#define LIBZINNIASTEP_GATEWAY_REPEAT_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "libzinniastep/base/time.h"

namespace zinniastep {

// Limits the repeated arrivals of requests at a service. In any time span of
// the window's length this host repeats at most a share of the requests that it
// accepted for the service, plus a fixed number (the slack). If each host uses
// only its own part of the slack, the fleet keeps its limit without
// communication.
class RepeatBudget {
 public:
  RepeatBudget(Duration window, double share);

  // Counts a caller's request for the service.
  auto OnRequest(Instant now) -> void;

  // Counts the arrival of a request at one more server, whether or not
  // MayRepeat() was called for it.
  auto OnRepeat(Instant now) -> void;

  // Returns whether one more repeat stays within the limit; `slack` is this
  // host's part of the repeats that are allowed regardless of requests.
  [[nodiscard]] auto MayRepeat(Instant now, double slack) -> bool;

 private:
  // Counts of one interval of the window.
  struct Bucket {
    std::uint64_t number = 0;
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;
  };
  // The window consists of whole buckets and is therefore up to one bucket
  // longer than configured, which is never less strict for repeats that come in
  // a burst.
  static constexpr std::size_t kBuckets = 20;

  auto BucketAt(Instant now) -> Bucket&;

  Duration bucket_length_;
  double share_;
  std::array<Bucket, kBuckets + 1> buckets_{};
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_REPEAT_BUDGET_H_
