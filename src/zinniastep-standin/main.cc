#include <csignal>
#include <iostream>
#include <memory>

#include <docopt/docopt.h>

#include "zinniastep-standin/platform.h"
#include "zinniastep-standin/settings.h"

namespace {

constexpr char kUsage[] =
    R"(Stands in for the platform around a fleet of entry hosts: object API, host
list, rating service, model engines and plain services. When it is ready it
prints its addresses as one line of JSON. Faults are set by POST /faults, its
account of what ran is GET /account. SIGTERM and SIGINT end it.

Usage:
  zinniastep-standin --settings FILE [--check]
  zinniastep-standin (-h | --help)
  zinniastep-standin --version

Options:
  --settings FILE  Settings in JSON.
  --check          Read the settings, say what is wrong, and end.
  -h --help        Show this text.
  --version        Show the version.
)";

// Waits for SIGTERM or SIGINT, which all threads have blocked.
auto WaitForEnd(const sigset_t& signals) -> void {
  int signal = 0;
  sigwait(&signals, &signal);
}

}  // namespace

auto main(int argc, char** argv) -> int {
  auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc}, true,
                                  "zinniastep-standin " ZINNIASTEP_VERSION);
  const auto settings =
      zinniastep::standin::ReadSettings(arguments["--settings"].asString());
  if (!settings.ok()) {
    std::cerr << settings.status() << "\n";
    return 1;
  }
  if (arguments["--check"].asBool()) {
    std::cout << "ok\n";
    return 0;
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  const auto platform = zinniastep::standin::Platform::Start(*settings);
  if (!platform.ok()) {
    std::cerr << platform.status() << "\n";
    return 1;
  }
  std::cout << (*platform)->Addresses().dump() << std::endl;
  WaitForEnd(signals);
  return 0;
}
