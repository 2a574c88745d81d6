#include <signal.h>

#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <sstream>
#include <string>

#include <docopt/docopt.h>

#include "libzinniastep/configuration/node_settings.h"
#include "libzinniastep/runtime/daemon.h"
#include "libzinniastep/runtime/log_writer.h"

namespace zinniastep {
namespace {

constexpr char kUsage[] =
    R"(zinniastepd: an entry host of the zinniastep router.

Usage:
  zinniastepd --settings=FILE [--check] [--log=FILE]
  zinniastepd (-h | --help)
  zinniastepd --version

Options:
  --settings=FILE  Settings in JSON.
  --check          Check the settings, print every finding, and exit.
  --log=FILE       Append log lines to FILE instead of standard error.
  -h --help        Show this text.
  --version        Show the version.

Exit codes: 0 after a graceful shutdown or a check without findings,
1 findings in the settings, 2 wrong usage, 3 an address cannot be bound.

Signals: SIGTERM and SIGINT begin a graceful shutdown.
)";

enum ExitCode { kSuccess = 0, kFindings = 1, kUsageError = 2, kCannotBind = 3 };

auto ReadFile(const std::string& path, std::string& text) -> bool {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream content;
  content << file.rdbuf();
  text = content.str();
  return static_cast<bool>(file);
}

auto PrintFindings(const std::string& path, const Findings& findings) -> void {
  for (const Finding& finding : findings) {
    std::cerr << path << ": " << (finding.place.empty() ? "/" : finding.place)
              << ": " << finding.message << "\n";
  }
}

// Blocks the signals in all threads that start later, so that only the main
// thread takes them.
auto BlockSignals() -> sigset_t {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

auto DrawIncarnation() -> Incarnation {
  std::random_device device;
  const auto high = static_cast<Incarnation>(device());
  const auto low = static_cast<Incarnation>(device());
  return (high << 32U) | low | 1U;
}

auto Serve(const NodeSettings& settings, const std::string& log) -> int {
  sigset_t signals = BlockSignals();
  StartLog(log);
  auto daemon = Daemon::Start(settings, DrawIncarnation());
  if (!daemon.ok()) {
    std::cerr << "zinniastepd: " << daemon.status() << "\n";
    return kCannotBind;
  }
  const HostIdentity& self = (*daemon)->identity();
  std::cout << R"({"host":")" << self.host.text() << R"(","caller_address":")"
            << self.caller_address << R"(","peer_address":")"
            << self.peer_address << R"("})" << std::endl;
  int signal_number = 0;
  sigwait(&signals, &signal_number);
  (*daemon)->RequestShutdown();
  (*daemon)->WaitForShutdown();
  return kSuccess;
}

auto Run(int argc, char** argv) -> int {
  const auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc}, true,
                                        "zinniastepd " ZINNIASTEP_VERSION);
  const std::string path = arguments.at("--settings").asString();
  std::string text;
  if (!ReadFile(path, text)) {
    std::cerr << "zinniastepd: cannot read " << path << "\n";
    return kUsageError;
  }
  const auto parsed = ReadNodeSettings(text);
  PrintFindings(path, parsed.findings);
  if (!parsed.value.has_value()) {
    return kFindings;
  }
  if (arguments.at("--check").asBool()) {
    std::cout << path << ": no findings\n";
    return kSuccess;
  }
  const auto log = arguments.at("--log");
  return Serve(*parsed.value, log ? log.asString() : std::string());
}

}  // namespace
}  // namespace zinniastep

auto main(int argc, char** argv) -> int {
  return zinniastep::Run(argc, argv);
}
