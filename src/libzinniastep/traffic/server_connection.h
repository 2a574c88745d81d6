#ifndef LIBZINNIASTEP_TRAFFIC_SERVER_CONNECTION_H_
#define LIBZINNIASTEP_TRAFFIC_SERVER_CONNECTION_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "libzinniastep/base/time.h"
#include "libzinniastep/traffic/caller_connection.h"
#include "libzinniastep/traffic/delivery_watch.h"

namespace zinniastep {

// How an exchange with a backend server ended.
enum class ExchangeEnd : std::uint8_t {
  // No byte of the request left this host.
  kNotSent,
  // Bytes left, and the answer did not come whole.
  kBroken,
  // The answer came whole.
  kWhole,
};

// Receives one answer of a backend server.
class ServerExchange {
 public:
  ServerExchange() = default;
  ServerExchange(const ServerExchange&) = delete;
  auto operator=(const ServerExchange&) -> ServerExchange& = delete;
  virtual ~ServerExchange() = default;

  virtual auto OnHead(const AnswerHead& head) -> void = 0;
  virtual auto OnBody(std::string_view bytes) -> void = 0;
  // Called once, unless the exchange was cancelled.
  virtual auto OnEnd(ExchangeEnd end) -> void = 0;
};

// Called with the head of each answer on a connection: interim ones, and those
// that belong to no request under way, too.
using HeadObserver = std::function<void(const AnswerHead& head)>;

// One connection to a backend server. It carries one request at a time, finds
// its answer by the attempt's id, and is of no further use after anything that
// does not belong to the answer. Used on the traffic thread only.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  // `attempt_id_header` is the name of the header that answers echo. The
  // connection is reset when bytes of a request stay on their way to the server
  // for `undelivered_limit`: the network may deliver them at any later time. A
  // server that acknowledges and reads nothing yet is not cut off.
  // `on_any_head` is called before the exchange sees the head.
  ServerConnection(boost::asio::io_context& io,
                   boost::asio::ip::tcp::endpoint endpoint,
                   std::string attempt_id_header,
                   Duration undelivered_limit,
                   HeadObserver on_any_head);

  // Sends a request, after connecting if need be. The exchange must stay until
  // its end or a cancellation.
  auto Send(std::string request,
            std::string attempt_id,
            Duration connect_timeout,
            std::shared_ptr<ServerExchange> exchange) -> void;

  // The server gets no new work any more. What it has not taken of the request
  // within `undelivered_limit` from now is dropped, whatever the reason.
  auto LimitDelivery() -> void;

  // Ends the exchange without a word, and the connection.
  auto Cancel() -> void;

  // Stops and goes on reading the answer.
  auto Pause() -> void;
  auto Resume() -> void;
  // Whether bytes of the request under way may have left this host.
  [[nodiscard]] auto is_sent() const -> bool { return sent_; }
  [[nodiscard]] auto is_paused() const -> bool { return paused_; }

  // Watches the idle connection, which becomes unusable when anything comes.
  auto BecomeIdle() -> void;

  // Whether another request may go out on the connection.
  [[nodiscard]] auto IsReusable(std::chrono::steady_clock::time_point now) const
      -> bool;
  // Whether an answer with the attempt's id could only be the one to its next
  // send on this connection.
  [[nodiscard]] auto CanTellApart(std::string_view attempt_id) const -> bool;
  [[nodiscard]] auto endpoint() const -> const boost::asio::ip::tcp::endpoint& {
    return endpoint_;
  }

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  auto Connect(Duration timeout) -> void;
  auto WriteRequest() -> void;
  // Looks again and again until the request is delivered.
  auto WatchDelivery() -> void;
  // Sets or lifts the system's own limit on unacknowledged bytes.
  auto LimitSystem(bool limited) -> void;
  // Bytes of the request that the server has not taken, as far as known.
  [[nodiscard]] auto Undelivered() -> std::size_t;
  auto ReadMore() -> void;
  auto OnBytes() -> void;
  auto OnReadEnd(bool clean) -> void;
  auto OnHeadDone() -> void;
  [[nodiscard]] auto IsAttributable(const AnswerHead& head) const -> bool;
  auto OnAnswerDone() -> void;
  auto DeliverBody() -> void;
  // Finds the head of an answer that nobody waits for, in what has come.
  auto ObserveStrayHead() -> void;
  auto BeginParser() -> void;
  auto End(ExchangeEnd end) -> void;
  auto Close() -> void;

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer connect_timer_;
  boost::asio::steady_timer delivery_timer_;
  DeliveryWatch delivery_;
  Duration undelivered_limit_;
  boost::asio::ip::tcp::endpoint endpoint_;
  std::string attempt_id_header_;
  HeadObserver on_any_head_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::string request_;
  std::string attempt_id_;
  std::shared_ptr<ServerExchange> exchange_;
  bool connected_ = false;
  bool sent_ = false;
  bool written_ = false;
  bool reading_ = false;
  bool paused_ = false;
  bool head_done_ = false;
  // The answer being read belongs to an earlier request.
  bool foreign_ = false;
  // Bytes of such answers since the request was sent.
  std::size_t skipped_bytes_ = 0;
  bool usable_ = true;
  // The server must take the rest of the request within the limit.
  bool delivery_limited_ = false;
  bool system_limited_ = false;
  // Hashes of the ids of all attempts that were sent on the connection.
  std::unordered_set<std::uint64_t> carried_;
  // The answers that the connection may still bring belong to more than one
  // attempt, or to two sends of one.
  bool was_used_ = false;
  bool was_id_carried_ = false;
  std::chrono::steady_clock::time_point idle_until_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_TRAFFIC_SERVER_CONNECTION_H_
