#ifndef LIBZINNIASTEP_TRAFFIC_HTTP_LISTENER_H_
#define LIBZINNIASTEP_TRAFFIC_HTTP_LISTENER_H_

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "libzinniastep/traffic/caller_connection.h"

namespace zinniastep {

// Accepts connections at one address and reads requests on them. Used on one
// thread only.
class HttpListener {
 public:
  // Binds a numeric "address:port". Connections wait there until BeginAccept.
  static auto Start(boost::asio::io_context& io,
                    std::string_view address,
                    CallerConnection::LimitsSource limits,
                    CallerConnection::Handler handler,
                    std::shared_ptr<HeldBytes> held)
      -> absl::StatusOr<std::unique_ptr<HttpListener>>;

  HttpListener(boost::asio::io_context& io,
               CallerConnection::LimitsSource limits,
               CallerConnection::Handler handler,
               std::shared_ptr<HeldBytes> held);

  // Begins to accept, once; further calls change nothing.
  auto BeginAccept() -> void;

  // Accepts no further connections.
  auto Close() -> void;

  // Tells callers on open connections to go elsewhere after their answers.
  auto BeginShutdown() -> void;

  // Closes the connections without a request under way.
  auto CloseIdle() -> void;

  // Refuses the requests that are still being read, as not run.
  auto RefuseUnread() -> void;

  // Connections that are open.
  [[nodiscard]] auto open() -> std::size_t;

  // The bound port.
  [[nodiscard]] auto port() const -> std::uint16_t;

 private:
  auto Listen(const boost::asio::ip::tcp::endpoint& endpoint) -> absl::Status;
  auto Accept() -> void;
  auto Prune() -> void;

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_pause_;
  CallerConnection::LimitsSource limits_;
  CallerConnection::Handler handler_;
  std::shared_ptr<HeldBytes> held_;
  std::vector<std::weak_ptr<CallerConnection>> connections_;
  bool accepting_ = false;
  bool shutting_down_ = false;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_TRAFFIC_HTTP_LISTENER_H_
