#ifndef LIBZINNIASTEP_RUNTIME_PERCENT_CODING_H_
#define LIBZINNIASTEP_RUNTIME_PERCENT_CODING_H_

#include <string>
#include <string_view>

namespace zinniastep {

// Decodes percent-encoded bytes; malformed ones stay as they are.
auto PercentDecode(std::string_view text) -> std::string;

// Encodes all bytes but unreserved ones and slashes.
auto PercentEncode(std::string_view text) -> std::string;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_PERCENT_CODING_H_
