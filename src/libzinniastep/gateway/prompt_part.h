#ifndef LIBZINNIASTEP_GATEWAY_PROMPT_PART_H_
#define LIBZINNIASTEP_GATEWAY_PROMPT_PART_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace zinniastep {

// Identifies a part of prompts in all requests and at all hosts: the value of
// an identifier of up to 16 hexadecimal digits, and a hash of any other one.
using PromptPartId = std::uint64_t;

[[nodiscard]] auto ReadPromptPartId(std::string_view text) -> PromptPartId;

// Returns the identifier in hexadecimal digits.
[[nodiscard]] auto ToText(PromptPartId part) -> std::string;

// Returns the identifiers with commas between them.
[[nodiscard]] auto ToText(std::span<const PromptPartId> parts) -> std::string;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_PROMPT_PART_H_
