#ifndef LIBZINNIASTEP_RUNTIME_HTTP_SERVER_H_
#define LIBZINNIASTEP_RUNTIME_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "libzinniastep/runtime/http_header.h"
#include "libzinniastep/runtime/stream_writer.h"

// NOLINTNEXTLINE(readability-identifier-naming): the library's own name.
namespace Pistache::Http {
class Request;
}

namespace zinniastep {

// A received HTTP request as its handler sees it; valid until the handler
// returns.
class HttpRequestView {
 public:
  explicit HttpRequestView(const Pistache::Http::Request& request)
      : request_(request) {}

  auto method() const -> std::string_view;

  // The path without the query.
  auto path() const -> std::string_view;

  // The query with its leading question mark, or nothing.
  auto query_string() const -> std::string;

  // One parameter of the query, with percent signs decoded.
  auto query(std::string_view name) const -> std::optional<std::string>;

  // A header's value; names compare without case.
  auto header(std::string_view name) const -> std::optional<std::string>;

  auto body() const -> std::string_view;

  // The caller's IP address.
  auto caller() const -> std::string;

 private:
  const Pistache::Http::Request& request_;
};

// What an HttpServer is started with.
struct HttpServerOptions {
  std::string ip = "127.0.0.1";
  // Zero takes a free port.
  std::uint16_t port = 0;
  int threads = 1;
  std::size_t max_request_bytes = std::size_t{1} << 20;
  std::chrono::milliseconds header_timeout = std::chrono::seconds(10);
  std::chrono::milliseconds body_timeout = std::chrono::seconds(30);
  // Also bounds the time from a request's arrival to the end of its answer.
  std::chrono::milliseconds keep_alive_timeout = std::chrono::minutes(10);
};

// An HTTP/1.1 endpoint. Requests are handled on its threads; a handler keeps
// the writer and answers now or later from any thread.
class HttpServer {
 public:
  using Handler = std::function<void(const HttpRequestView&,
                                     const std::shared_ptr<StreamWriter>&)>;

  // Binds the address and starts to serve.
  static auto Start(const HttpServerOptions& options, Handler handler)
      -> absl::StatusOr<std::unique_ptr<HttpServer>>;

  HttpServer(const HttpServer&) = delete;
  auto operator=(const HttpServer&) -> HttpServer& = delete;

  // Stops the threads and closes all connections.
  ~HttpServer();

  // The bound port.
  auto port() const -> std::uint16_t;

  // The bound address as IP:PORT.
  auto address() const -> std::string;

 private:
  class Endpoint;

  explicit HttpServer(std::unique_ptr<Endpoint> endpoint);

  const std::unique_ptr<Endpoint> endpoint_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_HTTP_SERVER_H_
