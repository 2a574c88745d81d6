#ifndef LIBZINNIASTEP_RUNTIME_HTTP_LOOP_H_
#define LIBZINNIASTEP_RUNTIME_HTTP_LOOP_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "libzinniastep/base/time.h"

namespace zinniastep {

// Numbers an exchange within one HttpLoop. Zero means "none".
using ExchangeId = std::uint64_t;

// One HTTP request to make.
struct HttpRequest {
  std::string method = "GET";
  std::string url;
  // Lines such as "If-Match: 3".
  std::vector<std::string> headers;
  std::shared_ptr<const std::string> body;
  // Cuts the whole exchange.
  Duration timeout = std::chrono::seconds(10);
  // The request is not sent when its first byte would go out later than this
  // after the submission.
  Duration send_within = std::chrono::seconds(10);
  // Whether the bytes must never go out twice: no connection is reused, since
  // libcurl repeats a request on its own when a reused one proves dead.
  bool at_most_once = false;
  // Answers are cut above this many bytes when they are kept whole.
  std::size_t longest_body = 4U << 20U;
};

// How an exchange ended.
struct HttpResult {
  // Whether a byte of the request may have been handed to the socket.
  bool sent = false;
  // Whether the whole answer came, from its status line to its end.
  bool complete = false;
  bool cancelled = false;
  // Zero if no whole head came.
  std::uint16_t status = 0;
  // Header names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  std::string error;
  Duration first_byte{0};
  Duration total{0};
};

// What the exchange's owner wants done after a piece of the answer.
enum class Flow : std::uint8_t { kContinue, kPause, kStop };

// Receives a streamed answer on the loop's thread.
class HttpSink {
 public:
  HttpSink() = default;
  HttpSink(const HttpSink&) = delete;
  auto operator=(const HttpSink&) -> HttpSink& = delete;
  virtual ~HttpSink() = default;

  // Takes the next piece of the answer's body. When it returns kPause the same
  // piece is offered again after a short while.
  virtual auto OnData(std::uint16_t status, std::string_view data) -> Flow = 0;

  // Takes the end of the exchange; called exactly once.
  virtual auto OnDone(HttpResult result) -> void = 0;
};

// Many HTTP exchanges on one thread with libcurl's multi interface. Submit and
// Cancel may be called from any thread.
class HttpLoop {
 public:
  HttpLoop();
  HttpLoop(const HttpLoop&) = delete;
  auto operator=(const HttpLoop&) -> HttpLoop& = delete;
  // Cancels what is open and joins the thread.
  ~HttpLoop();

  // Begins an exchange whose answer goes to the sink.
  auto Submit(HttpRequest request, std::shared_ptr<HttpSink> sink)
      -> ExchangeId;

  // Begins an exchange whose answer is kept whole.
  auto Submit(HttpRequest request, std::function<void(HttpResult)> done)
      -> ExchangeId;

  // Ends an exchange; its sink still gets OnDone.
  auto Cancel(ExchangeId id) -> void;

 private:
  struct Exchange;
  struct Multi;

  auto Run() -> void;
  auto TakeCommands() -> void;
  auto Start(const std::shared_ptr<Exchange>& exchange) -> void;
  auto Reap() -> void;
  auto Resume() -> void;
  auto Finish(const std::shared_ptr<Exchange>& exchange, int code) -> void;

  std::unique_ptr<Multi> multi_;
  std::mutex mutex_;
  std::vector<std::shared_ptr<Exchange>> submitted_;
  std::vector<ExchangeId> cancelled_;
  std::map<ExchangeId, std::shared_ptr<Exchange>> open_;
  std::atomic<ExchangeId> last_id_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_HTTP_LOOP_H_
