#ifndef LIBZINNIASTEP_GATEWAY_PROMPT_SHAPE_H_
#define LIBZINNIASTEP_GATEWAY_PROMPT_SHAPE_H_

#include <cstdint>
#include <string_view>

namespace zinniastep {

// What a request's prompt tells for its placing.
struct PromptShape {
  // Hash of the parts that other requests share; zero without any.
  std::uint64_t shared = 0;
  double shared_tokens = 0.0;
  // Names the request's session: the shared parts, since the last part may be
  // the request's alone, or the only part. Zero without any.
  std::uint64_t session = 0;
  double prompt_tokens = 0.0;
  double output_tokens = 0.0;
};

// Reads a prompt's parts ("ID:TOKENS,ID:TOKENS") and counts ("PROMPT,OUTPUT").
// What cannot be read stays zero: it is a hint for placing, no condition.
[[nodiscard]] auto ReadPromptShape(std::string_view parts,
                                   std::string_view counts) -> PromptShape;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_PROMPT_SHAPE_H_
