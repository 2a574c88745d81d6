// Minimal HTTP/1.1 over loopback sockets for the stand-ins of the review.
#ifndef REVIEW_STANDINS_HTTP_H_
#define REVIEW_STANDINS_HTTP_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// Milliseconds since the program started.
auto NowMs() -> std::int64_t;
auto SleepMs(std::int64_t milliseconds) -> void;
auto SleepUntilMs(std::int64_t time) -> void;

// Returns a loopback network "127.A.B." of this process's own.
auto LoopbackNetwork() -> std::string;
// Returns a port that is free on each of the addresses.
auto FreePort(const std::vector<std::string>& ips) -> int;

struct Message {
  // Request or status line.
  std::string line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  [[nodiscard]] auto Header(const std::string& name) const -> std::string;
  [[nodiscard]] auto Status() const -> int;
  [[nodiscard]] auto Method() const -> std::string;
  // Path without the query.
  [[nodiscard]] auto Path() const -> std::string;
  [[nodiscard]] auto Query(const std::string& name) const -> std::string;
};

auto ToText(const Message& message) -> std::string;
// A message with a body of a stated length.
auto Answer(int status,
            std::vector<std::pair<std::string, std::string>> headers,
            const std::string& body) -> Message;

// One connection, either side. Closes on destruction.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {}
  ~Connection();
  Connection(const Connection&) = delete;
  auto operator=(const Connection&) -> Connection& = delete;

  // Returns nothing if the connection cannot be opened.
  static auto Open(const std::string& ip, int port, int timeout_ms)
      -> std::shared_ptr<Connection>;

  // Reads one whole message (a stated length, chunks, or, for answers, up to
  // the end of the connection). Nothing if it is not whole in time.
  auto Read(std::int64_t until_ms) -> std::optional<Message>;
  auto Write(const std::string& bytes) -> bool;
  // Ends both directions, which wakes a reader in another thread.
  auto Shutdown() -> void;
  // Makes the close send a reset.
  auto ResetOnClose() -> void;
  // Whether the peer has closed the connection.
  auto IsClosedByPeer() -> bool;

 private:
  auto ReadSome(std::int64_t until_ms) -> bool;

  int descriptor_;
  std::string pending_;
  bool ended_ = false;
};

// Accepts connections and runs the handler for each one in its own thread.
class Listener {
 public:
  using Handler = std::function<void(const std::shared_ptr<Connection>&)>;

  Listener(const std::string& ip, int port, Handler handler);
  ~Listener();
  Listener(const Listener&) = delete;
  auto operator=(const Listener&) -> Listener& = delete;

  [[nodiscard]] auto ok() const -> bool { return descriptor_ >= 0; }
  // Ends accepting and all connections.
  auto Stop() -> void;

 private:
  auto Run() -> void;

  Handler handler_;
  int descriptor_ = -1;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
  std::mutex mutex_;
  std::vector<std::weak_ptr<Connection>> connections_;
  std::vector<std::thread> workers_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_HTTP_H_
