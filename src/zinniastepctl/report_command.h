#ifndef ZINNIASTEPCTL_REPORT_COMMAND_H_
#define ZINNIASTEPCTL_REPORT_COMMAND_H_

#include "zinniastepctl/exit_code.h"
#include "zinniastepctl/session.h"

namespace zinniastep::ctl {

// Prints what all bills say as finance and as the product side read it.
auto PrintReport(const Session& session, bool html) -> ExitCode;

}  // namespace zinniastep::ctl

#endif  // ZINNIASTEPCTL_REPORT_COMMAND_H_
