#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

#include <docopt/docopt.h>

#include "libzinniastep/configuration/record_content.h"
#include "libzinniastep/operations/edits.h"
#include "libzinniastep/runtime/http_client.h"
#include "zinniastepctl/change_commands.h"
#include "zinniastepctl/exit_code.h"
#include "zinniastepctl/http_object_client.h"
#include "zinniastepctl/part_commands.h"
#include "zinniastepctl/report_command.h"
#include "zinniastepctl/session.h"
#include "zinniastepctl/view_commands.h"

namespace zinniastep::ctl {

namespace {

constexpr char kUsage[] = R"(The operators' tool of zinniastep.

Usage:
  zinniastepctl check FILE... [options]
  zinniastepctl diff FILE [options]
  zinniastepctl apply FILE [options]
  zinniastepctl show PATH [options]
  zinniastepctl status [options]
  zinniastepctl domain (out|in) DOMAIN [options]
  zinniastepctl withdraw VERSION [options]
  zinniastepctl (hold|resume) ROLLOUT [options]
  zinniastepctl server (leave|return) DOMAIN SERVER [options]
  zinniastepctl drain [options]
  zinniastepctl report [options]
  zinniastepctl explain REQUEST [options]
  zinniastepctl parts held --gateway=FILE [options]
  zinniastepctl parts release PART --gateway=FILE [options]
  zinniastepctl --help
  zinniastepctl --version

Options:
  --store=ADDRESS  The object API, "address:port" [default: 127.0.0.1:9001].
  --host=ADDRESS   An entry host's caller address, "address:port".
  --gateway=FILE   A gateway host's settings file.
  --json           Print JSON, one object a line.
  --bad            Count the version as bad in the report.
  --reason=TEXT    Why; kept in the document.
  --html           Print the report as a page.
  --version        Show the version.

The operators' key is taken from the environment, ZINNIASTEP_OPERATOR_KEY.
Exit codes: 0 done, 1 findings, 2 usage, 3 conflict, 4 unreachable or unknown.
)";

using Arguments = std::map<std::string, docopt::value>;

auto SplitVersion(const std::string& text) -> ModelVersion {
  const std::size_t at = text.find('@');
  return at == std::string::npos
             ? ModelVersion{text, ""}
             : ModelVersion{text.substr(0, at), text.substr(at + 1)};
}

auto RunChange(const Session& session, Arguments& arguments) -> ExitCode {
  const auto given = [&arguments](const char* name) {
    return arguments[name] && arguments[name].asBool();
  };
  const std::string reason =
      arguments["--reason"] ? arguments["--reason"].asString() : "";
  if (given("domain")) {
    return Change(
        session, ObjectPath(std::string(kDomainsPath)),
        SetDomainState(
            FailureDomainId(arguments["DOMAIN"].asString()),
            given("out") ? FailureDomainState::kOut : FailureDomainState::kIn));
  }
  if (given("server")) {
    return Change(
        session, RosterPath(FailureDomainId(arguments["DOMAIN"].asString())),
        SetServerLeaving(BackendServerId(arguments["SERVER"].asString()),
                         given("leave")));
  }
  if (given("withdraw")) {
    const auto version = SplitVersion(arguments["VERSION"].asString());
    return ChangeDocumentWith(session, version,
                              WithdrawVersion(version, reason, given("--bad")));
  }
  const RolloutId rollout(arguments["ROLLOUT"].asString());
  return ChangeDocumentWith(
      session, rollout,
      SetRolloutState(rollout,
                      given("hold") ? RolloutRule::State::kHeld
                                    : RolloutRule::State::kRunning,
                      reason));
}

auto RunCommand(const Session& session, Arguments& arguments) -> ExitCode {
  const auto given = [&arguments](const char* name) {
    return arguments[name] && arguments[name].asBool();
  };
  if (given("check")) {
    return Check(session, arguments["FILE"].asStringList());
  }
  if (given("diff")) {
    return Diff(session, arguments["FILE"].asStringList().front());
  }
  if (given("apply")) {
    return Apply(session, arguments["FILE"].asStringList().front());
  }
  if (given("show")) {
    return Show(session, arguments["PATH"].asString());
  }
  if (given("status")) {
    return Status(session);
  }
  if (given("drain")) {
    return Drain(session);
  }
  if (given("report")) {
    return PrintReport(session, given("--html"));
  }
  if (given("explain")) {
    return Explain(session, arguments["REQUEST"].asString());
  }
  if (given("held")) {
    return ListHeldParts(session, arguments["--gateway"].asString());
  }
  if (given("release")) {
    return ReleasePart(session, arguments["--gateway"].asString(),
                       arguments["PART"].asString());
  }
  return RunChange(session, arguments);
}

auto Main(int argc, char** argv) -> ExitCode {
  Arguments arguments;
  try {
    arguments = docopt::docopt_parse(kUsage, {argv + 1, argv + argc},
                                     /*help=*/true, /*version=*/true);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return ExitCode::kOk;
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << "zinniastepctl " ZINNIASTEP_VERSION "\n";
    return ExitCode::kOk;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n" << kUsage;
    return ExitCode::kUsage;
  }
  const HttpClient http;
  HttpObjectClient objects(http, arguments["--store"].asString());
  const char* key = std::getenv("ZINNIASTEP_OPERATOR_KEY");
  const Session session{
      http,
      objects,
      arguments["--host"] ? arguments["--host"].asString() : "",
      key == nullptr ? "" : key,
      arguments["--json"].asBool(),
      std::cout,
      std::cerr};
  return RunCommand(session, arguments);
}

}  // namespace

}  // namespace zinniastep::ctl

auto main(int argc, char** argv) -> int {
  return static_cast<int>(zinniastep::ctl::Main(argc, argv));
}
