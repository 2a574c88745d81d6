#ifndef LIBZINNIASTEP_GATEWAY_REQUEST_SIGNATURE_H_
#define LIBZINNIASTEP_GATEWAY_REQUEST_SIGNATURE_H_

#include <span>
#include <string_view>

#include "libzinniastep/gateway/prompt_part.h"

namespace zinniastep {

// Returns a value that requests with the same fields have in common at all
// hosts. A caller that sends a request again gives it another id only, so that
// the signature names the request across its repeats.
[[nodiscard]] auto RequestSignature(std::span<const std::string_view> fields)
    -> PromptPartId;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_REQUEST_SIGNATURE_H_
