#ifndef TESTS_TRAFFIC_ENGINE_HOST_H_
#define TESTS_TRAFFIC_ENGINE_HOST_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "libzinniastep/runtime/metrics.h"
#include "libzinniastep/traffic/http_listener.h"
#include "libzinniastep/traffic/traffic_engine.h"
#include "tests/traffic/scripted_server.h"

namespace zinniastep::testing {

// An answer as a caller got it.
struct CallerAnswer {
  int status = 0;
  std::string head;
  std::string body;
  // The body came to its end by its length or last chunk.
  bool whole = false;
};

// Where servers listen, as "address:port".
struct ServerAddresses {
  std::vector<std::string> list;
};

// Bounds on the requests that the host sends once more.
struct RepeatLimits {
  double share = 1.0;
  double slack = 50.0;
};

// A traffic engine with its listener on loopback, in front of scripted servers.
// Routes: "/once/" (at most once), "/idem/" (idempotent) and "/gen/"
// (resumable streams with a cascade of "small" and "large"); "/stall/" has
// streams whose target and pauses are short, "/single/" the same with one
// attempt, and "/quick/" idempotent requests with a short target.
class EngineHost {
 public:
  explicit EngineHost(const std::vector<const ScriptedServer*>& servers,
                      RepeatLimits limits = {},
                      std::size_t most_held_bytes = kDefaultHeldBytes);
  // The same in front of servers at these addresses.
  explicit EngineHost(const ServerAddresses& servers,
                      RepeatLimits limits = {},
                      std::size_t most_held_bytes = kDefaultHeldBytes);
  EngineHost(const EngineHost&) = delete;
  auto operator=(const EngineHost&) -> EngineHost& = delete;
  ~EngineHost();

  // Sends bytes on a new connection and reads one answer.
  auto Call(const std::string& request) -> CallerAnswer;

  // The same, but leaves when the answer is not over after a while.
  auto CallUntil(const std::string& request, std::chrono::milliseconds most)
      -> CallerAnswer;

  // Sends bytes and leaves when `left` says so.
  auto CallAndLeave(const std::string& request,
                    const std::function<bool()>& left) -> void;

  // Answers that the engine has counted as evidence since the last call.
  auto CountedAnswers() -> std::uint64_t;

  // Sends a request and reads its answer only after a pause.
  auto CallAndPause(const std::string& request, std::chrono::milliseconds pause)
      -> CallerAnswer;

  // Sends requests on one connection, each after the answer to the one before
  // and a call of `between`.
  auto CallInTurn(const std::vector<std::string>& requests,
                  const std::function<void()>& between)
      -> std::vector<CallerAnswer>;

  // Replaces the policy by one with other limits.
  auto LimitCallers(CallerLimits limits) -> void;

  // Replaces the view by one whose servers listen at these addresses, as "s0",
  // "s1" and so on; an empty address leaves its server out.
  auto ListServers(const ServerAddresses& servers) -> void;

  // Replaces the view by a copy that was changed, on the engine's thread.
  auto ChangeView(const std::function<void(TrafficView&)>& change) -> void;

  // The most bytes that were held for all callers together.
  auto HeldPeak() -> std::size_t;

  // Value of a counter of the host's metrics.
  auto Counted(const std::string& counter) -> std::uint64_t;

  // The port at which the host listens.
  [[nodiscard]] auto port() const -> std::uint16_t { return port_; }

  // Values of a field in all log events of that name so far.
  auto Logged(const std::string& event, const std::string& field)
      -> std::vector<std::string>;

  // A request of an account with the key "k".
  static auto Request(const std::string& path,
                      const std::string& extra_headers = "",
                      const std::string& body = "x") -> std::string;

 private:
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  Metrics metrics_;
  std::vector<LogEvent> log_;
  std::unique_ptr<TrafficEngine> engine_;
  std::unique_ptr<HttpListener> listener_;
  std::uint16_t port_ = 0;
  std::thread thread_;
};

}  // namespace zinniastep::testing

#endif  // TESTS_TRAFFIC_ENGINE_HOST_H_
