#ifndef LIBZINNIASTEP_GATEWAY_CRASH_WITNESS_H_
#define LIBZINNIASTEP_GATEWAY_CRASH_WITNESS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/prompt_part.h"

namespace zinniastep {

// Parts that are kept of one send; the masks have a bit for each.
inline constexpr std::size_t kMaxWitnessParts = 16;

// A send that was unanswered when its server ended.
struct CrashWitness {
  // The same at all hosts that know of the send.
  std::uint64_t id = 0;
  // Hashes of the request's and the server's ids.
  std::uint64_t request = 0;
  std::uint64_t server = 0;
  // When the server ended, by this host's clock, and how long before the
  // request was sent to it.
  Instant ended_at;
  Duration took{0};
  // Shared parts of the prompt, and the request's signature.
  std::vector<PromptPartId> parts;
  // Parts that had been answered before, at the host that sent the request. The
  // bits from kMaxWitnessParts on say which part is a signature.
  std::uint32_t known = 0;
  // Parts that were answered after the end, at any host, or that an operator
  // cleared.
  std::uint32_t cleared = 0;

  [[nodiscard]] auto is_cleared(std::size_t part) const -> bool {
    return (cleared >> part & 1U) != 0;
  }
  // Whether all parts were answered since.
  [[nodiscard]] auto is_all_cleared() const -> bool {
    const std::uint32_t all = (1U << parts.size()) - 1U;
    return (cleared & all) == all;
  }
  [[nodiscard]] auto is_known(std::size_t part) const -> bool {
    return (known >> part & 1U) != 0;
  }
  [[nodiscard]] auto is_signature(std::size_t part) const -> bool {
    return (known >> (kMaxWitnessParts + part) & 1U) != 0;
  }
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_CRASH_WITNESS_H_
