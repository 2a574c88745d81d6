#ifndef LIBZINNIASTEP_CONFIGURATION_NUMERIC_ADDRESS_H_
#define LIBZINNIASTEP_CONFIGURATION_NUMERIC_ADDRESS_H_

#include <string_view>

namespace zinniastep {

// Returns whether the text is "address:port" with a numeric IPv4 address, or
// "[address]:port" with a numeric IPv6 address, and a port from 1 to 65535.
[[nodiscard]] auto IsNumericAddress(std::string_view text) -> bool;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_NUMERIC_ADDRESS_H_
