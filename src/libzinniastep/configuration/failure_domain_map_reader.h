#ifndef LIBZINNIASTEP_CONFIGURATION_FAILURE_DOMAIN_MAP_READER_H_
#define LIBZINNIASTEP_CONFIGURATION_FAILURE_DOMAIN_MAP_READER_H_

#include <cstdint>
#include <string_view>

#include "libzinniastep/configuration/document.h"
#include "libzinniastep/configuration/parsed.h"

namespace zinniastep {

// The most failure domains that a deployment may have.
inline constexpr std::uint64_t kMostFailureDomains = 256;

// Reads the failure domain map from JSON, with everything that is wrong.
[[nodiscard]] auto ReadFailureDomainMap(std::string_view text)
    -> Parsed<FailureDomainMap>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_FAILURE_DOMAIN_MAP_READER_H_
