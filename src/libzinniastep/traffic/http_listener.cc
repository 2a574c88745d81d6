#include "libzinniastep/traffic/http_listener.h"

#include <utility>

#include "libzinniastep/traffic/socket_address.h"

namespace zinniastep {

namespace {

namespace asio = boost::asio;

// Connections that wait to be accepted.
constexpr int kBacklog = 1024;
// Accepting pauses this long when the process is out of descriptors.
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);
// Forgotten connections are dropped from the list when it has grown by this.
constexpr std::size_t kPruneStep = 64;

}  // namespace

auto HttpListener::Start(asio::io_context& io,
                         std::string_view address,
                         CallerConnection::LimitsSource limits,
                         CallerConnection::Handler handler,
                         std::shared_ptr<HeldBytes> held,
                         std::size_t most_connections)
    -> absl::StatusOr<std::unique_ptr<HttpListener>> {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  auto listener =
      std::make_unique<HttpListener>(io, std::move(limits), std::move(handler),
                                     std::move(held), most_connections);
  if (const absl::Status status = listener->Listen(*endpoint); !status.ok()) {
    return status;
  }
  return listener;
}

HttpListener::HttpListener(asio::io_context& io,
                           CallerConnection::LimitsSource limits,
                           CallerConnection::Handler handler,
                           std::shared_ptr<HeldBytes> held,
                           std::size_t most_connections)
    : acceptor_(io),
      accept_pause_(io),
      limits_(std::move(limits)),
      handler_(std::move(handler)),
      held_(std::move(held)),
      most_connections_(most_connections) {}

auto HttpListener::Listen(const asio::ip::tcp::endpoint& endpoint)
    -> absl::Status {
  boost::system::error_code error;
  acceptor_.open(endpoint.protocol(), error);
  if (!error) {
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor_.bind(endpoint, error);
  }
  if (!error) {
    acceptor_.listen(kBacklog, error);
  }
  return error ? absl::UnavailableError(error.message()) : absl::OkStatus();
}

auto HttpListener::BeginAccept() -> void {
  if (!accepting_ && acceptor_.is_open()) {
    accepting_ = true;
    Accept();
  }
}

auto HttpListener::Accept() -> void {
  acceptor_.async_accept(
      [this](boost::system::error_code error, asio::ip::tcp::socket socket) {
        if (!acceptor_.is_open()) {
          return;
        }
        if (error) {
          PauseAccept();
          return;
        }
        auto connection = std::make_shared<CallerConnection>(
            std::move(socket), limits_, handler_, held_);
        Prune();
        connections_.push_back(connection);
        if (shutting_down_) {
          connection->BeginShutdown();
        }
        connection->Start();
        if (MakeRoom()) {
          Accept();
        } else {
          PauseAccept();
        }
      });
}

auto HttpListener::PauseAccept() -> void {
  accept_pause_.expires_after(kAcceptPause);
  accept_pause_.async_wait([this](boost::system::error_code ec) {
    if (ec) {
      return;
    }
    if (MakeRoom()) {
      Accept();
    } else {
      PauseAccept();
    }
  });
}

auto HttpListener::MakeRoom() -> bool {
  if (connections_.size() <= most_connections_) {
    return true;
  }
  for (std::size_t over = open(); over > most_connections_; --over) {
    std::shared_ptr<CallerConnection> longest;
    for (const auto& weak : connections_) {
      auto connection = weak.lock();
      if (connection != nullptr && connection->may_close_for_room() &&
          (longest == nullptr ||
           connection->waiting_since() < longest->waiting_since())) {
        longest = std::move(connection);
      }
    }
    if (longest == nullptr) {
      return false;
    }
    longest->CloseForRoom();
  }
  return true;
}

auto HttpListener::Prune() -> void {
  if (connections_.size() % kPruneStep == kPruneStep - 1) {
    std::erase_if(connections_,
                  [](const auto& connection) { return connection.expired(); });
  }
}

auto HttpListener::Close() -> void {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  accept_pause_.cancel();
}

auto HttpListener::BeginShutdown() -> void {
  shutting_down_ = true;
  for (const auto& weak : connections_) {
    if (const auto connection = weak.lock()) {
      connection->BeginShutdown();
    }
  }
}

auto HttpListener::CloseIdle() -> void {
  for (const auto& weak : connections_) {
    if (const auto connection = weak.lock()) {
      connection->CloseIfIdle();
    }
  }
}

auto HttpListener::RefuseUnread() -> void {
  for (const auto& weak : connections_) {
    if (const auto connection = weak.lock()) {
      connection->RefuseUnread();
    }
  }
}

auto HttpListener::open() -> std::size_t {
  std::erase_if(connections_, [](const auto& weak) {
    const auto connection = weak.lock();
    return connection == nullptr || connection->closed();
  });
  return connections_.size();
}

auto HttpListener::port() const -> std::uint16_t {
  boost::system::error_code ignored;
  return acceptor_.local_endpoint(ignored).port();
}

}  // namespace zinniastep
