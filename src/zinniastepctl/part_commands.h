#ifndef ZINNIASTEPCTL_PART_COMMANDS_H_
#define ZINNIASTEPCTL_PART_COMMANDS_H_

#include <string>

#include "zinniastepctl/exit_code.h"
#include "zinniastepctl/session.h"

namespace zinniastep::ctl {

// Lists the prompt parts that a gateway host holds back. `settings` is the path
// of the host's settings file, which names its metrics address.
auto ListHeldParts(const Session& session, const std::string& settings)
    -> ExitCode;

// Releases a prompt part; the host tells its peers.
auto ReleasePart(const Session& session,
                 const std::string& settings,
                 const std::string& part) -> ExitCode;

}  // namespace zinniastep::ctl

#endif  // ZINNIASTEPCTL_PART_COMMANDS_H_
