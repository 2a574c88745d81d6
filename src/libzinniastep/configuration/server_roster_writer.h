#ifndef LIBZINNIASTEP_CONFIGURATION_SERVER_ROSTER_WRITER_H_
#define LIBZINNIASTEP_CONFIGURATION_SERVER_ROSTER_WRITER_H_

#include <string>

#include "libzinniastep/configuration/document.h"

namespace zinniastep {

// Returns the roster as JSON that ReadServerRoster reads back.
[[nodiscard]] auto WriteServerRoster(const ServerRoster& roster) -> std::string;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_SERVER_ROSTER_WRITER_H_
