#ifndef LIBZINNIASTEP_GATEWAY_REPEAT_BUDGET_H_
#define LIBZINNIASTEP_GATEWAY_REPEAT_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "libzinniastep/base/time.h"

namespace zinniastep {

// Bounds the arrivals of requests at a service beyond each one's first. In any
// span of the window's length this host repeats at most a share of the requests
// that it took for the service, and a number beside. Hosts that keep their own
// share of that number keep the fleet's bound together, without a word.
class RepeatBudget {
 public:
  RepeatBudget(Duration window, double share);

  // A caller's request for the service begins.
  auto OnRequest(Instant now) -> void;

  // A request arrives at one more server, whether that was asked for or not.
  auto OnRepeat(Instant now) -> void;

  // Returns whether one more repeat keeps within the bound; `slack` is this
  // host's part of the repeats that need no requests.
  [[nodiscard]] auto MayRepeat(Instant now, double slack) -> bool;

 private:
  // Counts of one part of the window.
  struct Part {
    std::uint64_t number = 0;
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;
  };
  // The window counts whole parts, so that it is longer than stated by up to
  // one of them: never less strict for repeats that come in a burst.
  static constexpr std::size_t kParts = 20;

  auto PartAt(Instant now) -> Part&;

  Duration part_length_;
  double share_;
  std::array<Part, kParts + 1> parts_{};
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_REPEAT_BUDGET_H_
