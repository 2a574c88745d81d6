#ifndef ZINNIASTEPCTL_VIEW_COMMANDS_H_
#define ZINNIASTEPCTL_VIEW_COMMANDS_H_

#include <string>

#include "zinniastepctl/exit_code.h"
#include "zinniastepctl/session.h"

namespace zinniastep::ctl {

// Prints an object as the object API holds it, to be edited and applied.
auto Show(const Session& session, const std::string& path) -> ExitCode;

// Shows which generations are accepted, and on how many hosts of each region
// they are in force.
auto Status(const Session& session) -> ExitCode;

// Shows why a request went where it did.
auto Explain(const Session& session, const std::string& request) -> ExitCode;

// Starts a graceful shutdown of the entry host.
auto Drain(const Session& session) -> ExitCode;

}  // namespace zinniastep::ctl

#endif  // ZINNIASTEPCTL_VIEW_COMMANDS_H_
