#ifndef LIBZINNIASTEP_TRAFFIC_HTTP_LISTENER_H_
#define LIBZINNIASTEP_TRAFFIC_HTTP_LISTENER_H_

#include <cstddef>
#include <functional>
#include <limits>
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
  static constexpr std::size_t kNoBound =
      std::numeric_limits<std::size_t>::max();

  // Binds a numeric "address:port". Connections wait there until BeginAccept.
  // With more than `most_connections` the one that has waited longest is
  // closed, unless its request is under way.
  static auto Start(boost::asio::io_context& io,
                    std::string_view address,
                    CallerConnection::LimitsSource limits,
                    CallerConnection::Handler handler,
                    std::shared_ptr<HeldBytes> held,
                    std::size_t most_connections = kNoBound)
      -> absl::StatusOr<std::unique_ptr<HttpListener>>;

  HttpListener(boost::asio::io_context& io,
               CallerConnection::LimitsSource limits,
               CallerConnection::Handler handler,
               std::shared_ptr<HeldBytes> held,
               std::size_t most_connections);

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
  auto PauseAccept() -> void;
  auto Prune() -> void;
  // Closes connections until no more than the most are open, or none may be
  // closed. Returns whether there is room.
  auto MakeRoom() -> bool;

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_pause_;
  CallerConnection::LimitsSource limits_;
  CallerConnection::Handler handler_;
  std::shared_ptr<HeldBytes> held_;
  std::vector<std::weak_ptr<CallerConnection>> connections_;
  std::size_t most_connections_;
  bool accepting_ = false;
  bool shutting_down_ = false;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_TRAFFIC_HTTP_LISTENER_H_
