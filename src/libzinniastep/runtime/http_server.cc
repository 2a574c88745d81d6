#include "libzinniastep/runtime/http_server.h"

#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/peer.h>
#include <sys/socket.h>

#include <exception>
#include <sstream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "libzinniastep/runtime/percent_coding.h"

namespace zinniastep {
namespace {

namespace http = Pistache::Http;

// What a connection keeps of its answers; used on its reactor's thread only.
struct Connection {
  std::shared_ptr<StreamWriter> writer;
};

constexpr const char* kConnectionData = "connection";

// Hands requests to our handler and tells the writers of lost connections.
class Dispatcher : public http::Handler {
 public:
  HTTP_PROTOTYPE(Dispatcher)

  explicit Dispatcher(std::shared_ptr<HttpServer::Handler> handler)
      : handler_(std::move(handler)) {}

  auto onRequest(const http::Request& request, http::ResponseWriter response)
      -> void override {
    const auto peer = response.peer();
    const auto connection = ConnectionOf(*peer);
    if (connection->writer && !connection->writer->finished()) {
      // A request before the last answer's end: the answers would mix.
      connection->writer->Abort();
      return;
    }
    // Or the time-outs for receiving would cut a long answer.
    peer->setIdle(true);
    connection->writer = std::make_shared<StreamWriter>(peer);
    (*handler_)(HttpRequestView(request), connection->writer);
  }

  auto onTimeout(const http::Request&, http::ResponseWriter response)
      -> void override {
    response.send(http::Code::Request_Timeout);
  }

  auto onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer)
      -> void override {
    if (const auto writer = ConnectionOf(*peer)->writer) {
      writer->MarkGone();
    }
  }

 private:
  static auto ConnectionOf(Pistache::Tcp::Peer& peer)
      -> std::shared_ptr<Connection> {
    if (const auto known = peer.tryGetData(kConnectionData)) {
      return std::static_pointer_cast<Connection>(known);
    }
    auto connection = std::make_shared<Connection>();
    peer.putData(kConnectionData, connection);
    return connection;
  }

  std::shared_ptr<HttpServer::Handler> handler_;
};

}  // namespace

auto HttpRequestView::method() const -> std::string_view {
  return http::methodString(request_.method());
}

auto HttpRequestView::path() const -> std::string_view {
  return request_.resource();
}

auto HttpRequestView::query_string() const -> std::string {
  return request_.query().as_str();
}

auto HttpRequestView::query(std::string_view name) const
    -> std::optional<std::string> {
  const auto raw = request_.query().get(std::string(name));
  if (!raw.has_value()) {
    return std::nullopt;
  }
  return PercentDecode(*raw);
}

auto HttpRequestView::header(std::string_view name) const
    -> std::optional<std::string> {
  const std::string key(name);
  if (const auto raw = request_.headers().tryGetRaw(key)) {
    return raw->value();
  }
  if (const auto typed = request_.headers().tryGet(key)) {
    std::ostringstream value;
    typed->write(value);
    return value.str();
  }
  return std::nullopt;
}

auto HttpRequestView::body() const -> std::string_view {
  return request_.body();
}

auto HttpRequestView::caller() const -> std::string {
  return request_.address().host();
}

// Keeps Pistache's headers out of ours.
class HttpServer::Endpoint {
 public:
  Endpoint(const HttpServerOptions& options, HttpServer::Handler handler)
      : ip_(options.ip),
        endpoint_(Pistache::Address(options.ip, Pistache::Port(options.port))) {
    using Flags = Pistache::Tcp::Options;
    endpoint_.init(
        http::Endpoint::options()
            .threads(options.threads)
            .flags(Flags::ReuseAddr | Flags::NoDelay | Flags::CloseOnExec)
            .maxRequestSize(options.max_request_bytes)
            .headerTimeout(options.header_timeout)
            .bodyTimeout(options.body_timeout)
            .keepaliveTimeout(options.keep_alive_timeout));
    endpoint_.setHandler(std::make_shared<Dispatcher>(
        std::make_shared<HttpServer::Handler>(std::move(handler))));
    endpoint_.serveThreaded();
  }

  ~Endpoint() { endpoint_.shutdown(); }

  Endpoint(const Endpoint&) = delete;
  auto operator=(const Endpoint&) -> Endpoint& = delete;

  auto port() const -> std::uint16_t { return endpoint_.getPort(); }
  auto ip() const -> const std::string& { return ip_; }

 private:
  const std::string ip_;
  http::Endpoint endpoint_;
};

auto HttpServer::Start(const HttpServerOptions& options, Handler handler)
    -> absl::StatusOr<std::unique_ptr<HttpServer>> {
  try {
    return std::unique_ptr<HttpServer>(new HttpServer(
        std::make_unique<Endpoint>(options, std::move(handler))));
  } catch (const std::exception& error) {
    return absl::UnavailableError(absl::StrCat(
        "can't serve on ", options.ip, ":", options.port, ": ", error.what()));
  }
}

HttpServer::HttpServer(std::unique_ptr<Endpoint> endpoint)
    : endpoint_(std::move(endpoint)) {}

HttpServer::~HttpServer() = default;

auto HttpServer::port() const -> std::uint16_t {
  return endpoint_->port();
}

auto HttpServer::address() const -> std::string {
  return absl::StrCat(endpoint_->ip(), ":", port());
}

}  // namespace zinniastep
