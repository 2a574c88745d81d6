#ifndef TESTS_TRAFFIC_GATEWAY_PROCESS_H_
#define TESTS_TRAFFIC_GATEWAY_PROCESS_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/process/child_process.h"
#include "tests/traffic/scripted_server.h"

namespace zinniastep::testing {

// The contents of a store of the platform.
struct StoreContents {
  // Bodies of the answers to lists, by the kind's name; other kinds are empty.
  std::string config;
  std::string servers;
  // Returns the body of the answer to a watch of the configuration from the
  // list's revision; called on the store's thread. Without it watches wait.
  std::function<std::string()> config_changes = {};
};

// A real gateway process before a scripted store, with the ports of its
// addresses on a loopback address of its own.
class GatewayProcess {
 public:
  static constexpr int kShutdownSeconds = 3;

  // Starts the process; WaitUntilServing() tells when it can be used. Members
  // of `more_settings` replace the usual ones.
  explicit GatewayProcess(
      StoreContents contents,
      const nlohmann::json& more_settings = nlohmann::json::object());
  GatewayProcess(const GatewayProcess&) = delete;
  auto operator=(const GatewayProcess&) -> GatewayProcess& = delete;

  // Contents with one service, "pool", whose servers "s0", "s1" and so on
  // listen at these addresses. Routes of the host "x.example", each with a
  // timeout of 20 s: "/once/" (at most once), "/idem/" (idempotent), "/gen/"
  // (resumable streams).
  static auto Contents(const std::vector<std::string>& server_addresses)
      -> StoreContents;
  // One entry of the list of servers, as the store holds it.
  static auto ServerEntry(const std::string& name, const std::string& address)
      -> nlohmann::json;
  // The configuration of Contents(), as the store holds it.
  static auto ConfigurationEntry() -> nlohmann::json;
  // A list of entries, as the store answers it.
  static auto List(const nlohmann::json& entries) -> std::string;
  // The answer to a watch from such a list: a change to one entry, or none.
  static auto Change(const nlohmann::json& entry) -> std::string;
  static auto NoChange() -> std::string;

  // Waits until callers' connections are answered.
  auto WaitUntilServing() -> bool;
  // Waits for a line of the log that contains a text.
  auto WaitForLog(const std::string& text, std::chrono::milliseconds patience)
      -> bool;

  // Returns the most memory that the process has had resident, in bytes, and
  // the number of descriptors that it has open; zero after its end.
  [[nodiscard]] auto PeakResidentBytes() const -> std::size_t;
  [[nodiscard]] auto OpenDescriptors() const -> std::size_t;

  // Where callers connect, as "address:port".
  [[nodiscard]] auto callers() const -> std::string;
  // Where readiness, the directory and the metrics are asked for.
  [[nodiscard]] auto ready() const -> std::string;
  [[nodiscard]] auto directory() const -> std::string;
  [[nodiscard]] auto metrics() const -> std::string;
  [[nodiscard]] auto store() const -> const ScriptedServer& { return store_; }
  [[nodiscard]] auto child() -> ChildProcess& { return *child_; }

 private:
  [[nodiscard]] auto Address(int port) const -> std::string;
  [[nodiscard]] auto Settings() const -> nlohmann::json;

  ScriptedServer store_;
  std::string loopback_;
  std::unique_ptr<ChildProcess> child_;
};

}  // namespace zinniastep::testing

#endif  // TESTS_TRAFFIC_GATEWAY_PROCESS_H_
