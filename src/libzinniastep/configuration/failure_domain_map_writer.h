#ifndef LIBZINNIASTEP_CONFIGURATION_FAILURE_DOMAIN_MAP_WRITER_H_
#define LIBZINNIASTEP_CONFIGURATION_FAILURE_DOMAIN_MAP_WRITER_H_

#include <string>

#include "libzinniastep/configuration/document.h"

namespace zinniastep {

// Returns the map as JSON that ReadFailureDomainMap reads back.
[[nodiscard]] auto WriteFailureDomainMap(const FailureDomainMap& map)
    -> std::string;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_FAILURE_DOMAIN_MAP_WRITER_H_
