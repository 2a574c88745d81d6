#include "tests/traffic/gateway_process.h"

#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string_view>
#include <system_error>
#include <utility>

#include "tests/process/fleet_process.h"
#include "tests/traffic/raw_caller.h"

namespace zinniastep::testing {

namespace {

using nlohmann::json;

constexpr int kLoopbackNumbers = 250;
// Revisions of the store in its lists and after a change.
constexpr int kListedRevision = 5;
constexpr int kChangedRevision = 6;
// How long a watch of the configuration waits for its answer.
constexpr std::chrono::milliseconds kWatchTime(50);

auto JsonAnswer(const std::string& body) -> std::string {
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto AnswerFromStore(const StoreContents& contents, const std::string& request)
    -> ScriptedAnswer {
  const std::string line = request.substr(0, request.find("\r\n"));
  const bool is_config = line.starts_with("GET /v1/objects/config");
  if (line.find("Watch=") != std::string::npos) {
    const std::string first = "Watch=" + std::to_string(kListedRevision) + "&";
    if (!is_config || !contents.config_changes ||
        line.find(first) == std::string::npos) {
      return {"", false, true};
    }
    ScriptedAnswer answer;
    answer.rest = JsonAnswer(contents.config_changes());
    answer.rest_after = kWatchTime;
    return answer;
  }
  if (is_config) {
    return {JsonAnswer(contents.config)};
  }
  if (line.starts_with("GET /v1/objects/servers")) {
    return {JsonAnswer(contents.servers)};
  }
  return {JsonAnswer(GatewayProcess::List(json::array()))};
}

auto Route(const std::string& prefix, const std::string& kind) -> json {
  return {{"Name", prefix}, {"Host", "x.example"}, {"PathPrefix", prefix},
          {"Kind", kind},   {"TimeoutMs", 20000},  {"TargetLatencyMs", 8000},
          {"Attempts", 3},  {"Service", "pool"}};
}

}  // namespace

auto GatewayProcess::ServerEntry(const std::string& name,
                                 const std::string& address) -> json {
  return {{"Metadata", {{"Name", name}, {"Revision", 2}}},
          {"Spec",
           {{"Service", "pool"},
            {"Address", address},
            {"Zone", "perth-a"},
            {"Version", "1"},
            {"Slots", 8},
            {"State", "ready"},
            {"ColdLeftMs", 0},
            {"Seq", 1},
            {"born", 1}}}};
}

auto GatewayProcess::List(const json& entries) -> std::string {
  return json{{"Entries", entries}, {"HasMore", false}, {"At", kListedRevision}}
      .dump();
}

auto GatewayProcess::Change(const json& entry) -> std::string {
  json object = entry;
  object["Metadata"]["Revision"] = kChangedRevision;
  return json{{"events", {{{"Object", object}, {"Removed", false}}}},
              {"At", kChangedRevision}}
      .dump();
}

auto GatewayProcess::NoChange() -> std::string {
  return json{{"events", json::array()}, {"At", kListedRevision}}.dump();
}

auto GatewayProcess::ConfigurationEntry() -> json {
  json stream = Route("/gen/", "streaming");
  stream["Resumable"] = true;
  return {{"Metadata", {{"Name", "main"}, {"Revision", 1}}},
          {"Spec",
           {{"Version", 1},
            {"Routes",
             {Route("/once/", "non_idempotent"), Route("/idem/", "idempotent"),
              stream}},
            {"Services", {{{"Name", "pool"}}}}}}};
}

auto GatewayProcess::Contents(const std::vector<std::string>& server_addresses)
    -> StoreContents {
  json servers = json::array();
  for (const std::string& address : server_addresses) {
    servers.push_back(
        ServerEntry("s" + std::to_string(servers.size()), address));
  }
  return {List(json::array({ConfigurationEntry()})), List(servers)};
}

GatewayProcess::GatewayProcess(StoreContents contents,
                               const json& more_settings)
    : store_([contents = std::move(contents)](const std::string& request) {
        return AnswerFromStore(contents, request);
      }) {
  static std::atomic<int> started = 0;
  loopback_ = "127.92." + std::to_string(1 + getpid() % kLoopbackNumbers) +
              "." + std::to_string(++started);
  json settings = Settings();
  settings.update(more_settings);
  const std::string file = WriteTestFile("gateway.json", settings);
  child_ = std::make_unique<ChildProcess>(
      "../platform/zinniastep-gateway",
      std::vector<std::string>{"--settings=" + file});
}

auto GatewayProcess::Address(int port) const -> std::string {
  return loopback_ + ":" + std::to_string(port);
}

auto GatewayProcess::Settings() const -> json {
  return {{"host", "host-a"},
          {"failure_domain", "perth-a"},
          {"region", "perth"},
          {"regions", {{"perth-a", "perth"}}},
          {"caller_address", Address(8227)},
          {"ready_address", Address(8220)},
          {"directory_address", Address(8224)},
          {"metrics_address", Address(7341)},
          {"peer_address", Address(7340)},
          {"seeds", json::array()},
          {"store_address", store_.address()},
          {"signing_keys", {"key"}},
          {"shutdown_s", kShutdownSeconds},
          {"most_descriptors", 1024}};
}

auto GatewayProcess::callers() const -> std::string {
  return Address(8227);
}

auto GatewayProcess::ready() const -> std::string {
  return Address(8220);
}

auto GatewayProcess::directory() const -> std::string {
  return Address(8224);
}

auto GatewayProcess::metrics() const -> std::string {
  return Address(7341);
}

auto GatewayProcess::PeakResidentBytes() const -> std::size_t {
  constexpr std::string_view kKey = "VmHWM:";
  std::ifstream status("/proc/" + std::to_string(child_->pid()) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(kKey)) {
      return std::stoul(line.substr(kKey.size())) * 1024;
    }
  }
  return 0;
}

auto GatewayProcess::OpenDescriptors() const -> std::size_t {
  std::error_code error;
  const std::filesystem::directory_iterator entries(
      "/proc/" + std::to_string(child_->pid()) + "/fd", error);
  return error ? 0
               : static_cast<std::size_t>(
                     std::distance(begin(entries), end(entries)));
}

auto GatewayProcess::WaitUntilServing() -> bool {
  return Eventually([this] {
    RawCaller caller(callers());
    caller.Send("GET /none/ HTTP/1.1\r\nHost: x.example\r\n\r\n");
    return caller.ReadAnswer(std::chrono::seconds(2)).status == 404;
  });
}

auto GatewayProcess::WaitForLog(const std::string& text,
                                std::chrono::milliseconds patience) -> bool {
  const auto end = std::chrono::steady_clock::now() + patience;
  while (std::chrono::steady_clock::now() < end) {
    const auto line = child_->ReadLine(patience);
    if (!line.has_value()) {
      return false;
    }
    if (line->find(text) != std::string::npos) {
      return true;
    }
  }
  return false;
}

}  // namespace zinniastep::testing
