#ifndef LIBZINNIASTEP_GATEWAY_PROMPT_SHAPE_H_
#define LIBZINNIASTEP_GATEWAY_PROMPT_SHAPE_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "libzinniastep/gateway/prompt_part.h"

namespace zinniastep {

// Placement hints from a request's prompt.
struct PromptShape {
  // Hash of the parts that the prompt shares with other requests; zero without
  // shared parts.
  std::uint64_t shared = 0;
  double shared_tokens = 0.0;
  // Hash that identifies the request's session: that of the shared parts, since
  // the last part may belong to this request alone, or that of the only part.
  // Zero without any part.
  std::uint64_t session = 0;
  double prompt_tokens = 0.0;
  double output_tokens = 0.0;
  // All parts but the last, which belongs to the request or its session alone;
  // in order, and at most kMaxSharedParts of them.
  std::vector<PromptPartId> shared_parts;
};

// A longer prompt's first parts count.
inline constexpr std::size_t kMaxSharedParts = 64;

// Reads a prompt's parts ("ID:TOKENS,ID:TOKENS") and counts ("PROMPT,OUTPUT").
// Values that cannot be parsed stay zero, since they are only hints.
[[nodiscard]] auto ReadPromptShape(std::string_view parts,
                                   std::string_view counts) -> PromptShape;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_PROMPT_SHAPE_H_
