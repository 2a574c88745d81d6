#include <malloc.h>
#include <signal.h>
#include <unistd.h>

#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <string>

#include <docopt/docopt.h>

#include "libzinniastep/gateway/gateway_settings.h"
#include "libzinniastep/runtime/log_buffer.h"
#include "libzinniastep/runtime/log_writer.h"
#include "libzinniastep/traffic/gateway_daemon.h"
#include "platform/binding.h"

namespace zinniastep {
namespace {

constexpr char kUsage[] =
    R"(zinniastep-gateway: an entry host of the zinniastep router on a platform.

Usage:
  zinniastep-gateway --settings=FILE [--check]
  zinniastep-gateway (-h | --help)
  zinniastep-gateway --version

Options:
  --settings=FILE  Settings in JSON.
  --check          Check the settings, print every finding, and exit.
  -h --help        Show this text.
  --version        Show the version.

Exit codes: 0 after a graceful shutdown or a check without findings,
1 findings in the settings, 2 wrong usage, 3 an address cannot be bound.

Signals: SIGTERM and SIGINT begin a graceful shutdown, SIGHUP reads the
settings again.
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

// Larger blocks, in bytes, go back to the system when they are freed.
constexpr int kLargeBlock = 128 * 1024;

// Keeps the allocator from raising its threshold with each large block that is
// freed, after which large bodies would fragment the heap.
auto FixAllocatorThreshold() -> void {
  mallopt(M_MMAP_THRESHOLD, kLargeBlock);
  mallopt(M_TRIM_THRESHOLD, kLargeBlock);
}

// Blocks the signals in all threads that start later, so that only the main
// thread takes them.
auto BlockSignals() -> sigset_t {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
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

auto Reload(GatewayDaemon& daemon, const std::string& path) -> void {
  std::string text;
  if (!ReadFile(path, text)) {
    std::cerr << "zinniastep-gateway: cannot read " << path << "\n";
    return;
  }
  const auto parsed = ReadGatewaySettings(text);
  PrintFindings(path, parsed.findings);
  if (parsed.value.has_value()) {
    daemon.OnReload(*parsed.value);
  }
}

auto Serve(const GatewaySettings& settings, const std::string& path) -> int {
  FixAllocatorThreshold();
  const sigset_t signals = BlockSignals();
  const auto log = std::make_shared<LogBuffer>(STDOUT_FILENO);
  StartLog(log);
  const Incarnation incarnation = DrawIncarnation();
  auto daemon =
      GatewayDaemon::Start(settings, platform::MakeBinding(), incarnation, log);
  if (!daemon.ok()) {
    std::cerr << "zinniastep-gateway: " << daemon.status() << "\n";
    return kCannotBind;
  }
  WriteLog({"started",
            {{"host", settings.host.text()},
             {"incarnation", std::to_string(incarnation)},
             {"version", ZINNIASTEP_VERSION},
             {"callers", settings.caller_address}}});
  for (;;) {
    int signal_number = 0;
    sigwait(&signals, &signal_number);
    if (signal_number != SIGHUP) {
      break;
    }
    Reload(**daemon, path);
  }
  (*daemon)->ShutDown();
  return kSuccess;
}

auto Run(int argc, char** argv) -> int {
  const auto arguments =
      docopt::docopt(kUsage, {argv + 1, argv + argc}, true,
                     "zinniastep-gateway " ZINNIASTEP_VERSION);
  const std::string path = arguments.at("--settings").asString();
  std::string text;
  if (!ReadFile(path, text)) {
    std::cerr << "zinniastep-gateway: cannot read " << path << "\n";
    return kUsageError;
  }
  const auto parsed = ReadGatewaySettings(text);
  PrintFindings(path, parsed.findings);
  if (!parsed.value.has_value()) {
    return kFindings;
  }
  if (arguments.at("--check").asBool()) {
    std::cout << path << ": no findings\n";
    return kSuccess;
  }
  return Serve(*parsed.value, path);
}

}  // namespace
}  // namespace zinniastep

auto main(int argc, char** argv) -> int {
  return zinniastep::Run(argc, argv);
}
