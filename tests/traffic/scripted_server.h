#ifndef TESTS_TRAFFIC_SCRIPTED_SERVER_H_
#define TESTS_TRAFFIC_SCRIPTED_SERVER_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace zinniastep::testing {

// What a scripted backend server does with one request.
struct ScriptedAnswer {
  // Bytes as they go on the wire.
  std::string bytes;
  // Closes the connection after the bytes.
  bool close = false;
  // Goes on to keep the connection open, without a word.
  bool hang = false;
  // Sent after the bytes again and again, with pauses, until the connection is
  // closed; nothing when empty.
  std::string drip = {};
  std::chrono::milliseconds drip_pause{0};
  // Sent once, this long after the bytes; nothing when empty. The server reads
  // nothing until then.
  std::string rest = {};
  std::chrono::milliseconds rest_after{0};
  // This long after the bytes, closes all connections and listens no more for
  // the second time, unless that is zero: a server that ends with its requests.
  std::chrono::milliseconds end_after{0};
  std::chrono::milliseconds end_for{0};
};

// A backend server on loopback that answers as the test says, and keeps what
// it was sent.
class ScriptedServer {
 public:
  // Called with each whole request; on the server's thread.
  using Script = std::function<ScriptedAnswer(const std::string& request)>;

  explicit ScriptedServer(Script script);
  ScriptedServer(const ScriptedServer&) = delete;
  auto operator=(const ScriptedServer&) -> ScriptedServer& = delete;
  ~ScriptedServer();

  [[nodiscard]] auto address() const -> std::string;
  [[nodiscard]] auto requests() const -> std::vector<std::string>;
  // How often the server ended.
  [[nodiscard]] auto endings() const -> int { return endings_; }
  // Connections that their sender closed while a request was unanswered, or
  // while its answer went on without an end.
  [[nodiscard]] auto abandoned() const -> int { return abandoned_; }
  // Bytes of answers that went on without an end, as far as they were taken.
  [[nodiscard]] auto dripped() const -> std::size_t { return dripped_; }

 private:
  struct Session;

  auto Accept() -> void;
  auto Read(const std::shared_ptr<Session>& session) -> void;
  auto EndFor(std::chrono::milliseconds time) -> void;
  auto Drip(const std::shared_ptr<Session>& session) -> void;
  auto SendLater(const std::shared_ptr<Session>& session,
                 const std::string& bytes,
                 std::chrono::milliseconds after) -> void;

  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint endpoint_;
  boost::asio::steady_timer restart_;
  std::vector<std::weak_ptr<Session>> sessions_;
  Script script_;
  mutable std::mutex mutex_;
  std::vector<std::string> requests_;
  std::atomic<int> abandoned_ = 0;
  std::atomic<int> endings_ = 0;
  std::atomic<std::size_t> dripped_ = 0;
  std::thread thread_;
};

// Returns the value of a header in a request or answer; empty without it.
[[nodiscard]] auto HeaderOf(const std::string& message, const std::string& name)
    -> std::string;

}  // namespace zinniastep::testing

#endif  // TESTS_TRAFFIC_SCRIPTED_SERVER_H_
