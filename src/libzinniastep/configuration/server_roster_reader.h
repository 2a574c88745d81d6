#ifndef LIBZINNIASTEP_CONFIGURATION_SERVER_ROSTER_READER_H_
#define LIBZINNIASTEP_CONFIGURATION_SERVER_ROSTER_READER_H_

#include <cstdint>
#include <string_view>

#include "libzinniastep/configuration/document.h"
#include "libzinniastep/configuration/parsed.h"

namespace zinniastep {

// The most backend servers that one failure domain may have, and the most
// versions that a roster may name for one of them.
inline constexpr std::uint64_t kMostServersPerDomain = 2000;
inline constexpr std::uint64_t kMostVersionsPerServer = 64;

// Reads the roster of one failure domain from JSON, with everything that is
// wrong. Whether its versions and services exist is the documents' matter.
[[nodiscard]] auto ReadServerRoster(std::string_view text)
    -> Parsed<ServerRoster>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_SERVER_ROSTER_READER_H_
