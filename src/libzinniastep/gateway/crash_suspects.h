#ifndef LIBZINNIASTEP_GATEWAY_CRASH_SUSPECTS_H_
#define LIBZINNIASTEP_GATEWAY_CRASH_SUSPECTS_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/crash_witness.h"

namespace zinniastep {

inline constexpr Duration kSuspicionDelay = std::chrono::seconds(1);

// Prompt parts that crash each server that begins to answer a request with all
// of them.
struct CrashSuspect {
  // In ascending order. More than one part as long as each request that ended a
  // server had all of them: a request with only some may be sound.
  std::vector<PromptPartId> parts;
  // Ends of servers that they explain.
  std::size_t endings = 0;
  // Requests that were unanswered at these ends.
  std::size_t requests = 0;
  // The parts include a signature, so that only repeats of one request have
  // all of them.
  bool is_one_request = false;
  Instant last_ended_at;
};

// Returns the parts that the witnesses convict, those that explain the most
// ends first. A part is convicted by requests that it was in at several ends,
// one after the other, without an answer to any request with it since. Servers
// that end together, as with a failure domain, count as one end. The result may
// change within kSuspicionDelay of the last end without a new witness.
[[nodiscard]] auto FindCrashSuspects(Instant now,
                                     std::span<const CrashWitness> witnesses)
    -> std::vector<CrashSuspect>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_CRASH_SUSPECTS_H_
