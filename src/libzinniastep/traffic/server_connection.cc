#include "libzinniastep/traffic/server_connection.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "libzinniastep/base/hash.h"
#include "libzinniastep/runtime/socket_options.h"
#include "libzinniastep/traffic/http_text.h"

namespace zinniastep {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::size_t kReadSize = 8192;
constexpr std::uint32_t kLongestHead = 32768;
// HTTP has no class for other statuses.
constexpr unsigned kLeastStatus = 100;
constexpr unsigned kMostStatus = 599;
// Bytes that the parser may leave unread, such as a chunk's header or a trailer
// without an end.
constexpr std::size_t kLongestUnparsed = 65536;
// Bytes of interim answers, and of answers to other requests, that a request
// lets pass on its connection. One late answer to an earlier request fits.
constexpr std::size_t kMostSkipped = std::size_t{1} << 20U;
// The system ends a connection of its own accord only after this host had time
// to reset it.
constexpr Duration kSystemReserve = std::chrono::milliseconds(600);
// A server that is lost while it works on a request sends nothing, as a busy
// one does; probes tell the two apart.
constexpr int kProbes = 2;
// Idle connections are not kept longer, and less when the server says so.
constexpr std::chrono::milliseconds kLongestIdle(4000);
constexpr std::chrono::milliseconds kIdleReserve(700);
// Requests that one connection carries.
constexpr std::size_t kMostRequests = 1000;

auto IdleTime(const AnswerHead& head) -> std::chrono::milliseconds {
  const auto header = HeaderValue(head, "Keep-Alive");
  if (!header.has_value()) {
    return kLongestIdle;
  }
  constexpr std::string_view kTimeout = "timeout=";
  const auto at = header->find(kTimeout);
  if (at == std::string_view::npos) {
    return kLongestIdle;
  }
  std::string_view digits = header->substr(at + kTimeout.size());
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  const auto seconds = WholeNumber(digits);
  if (!seconds.has_value()) {
    return kLongestIdle;
  }
  const std::chrono::milliseconds stated =
      std::chrono::seconds(*seconds) - kIdleReserve;
  return std::clamp(stated, std::chrono::milliseconds(0), kLongestIdle);
}

auto Now() -> Instant {
  return Instant(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

}  // namespace

ServerConnection::ServerConnection(asio::io_context& io,
                                   asio::ip::tcp::endpoint endpoint,
                                   std::string attempt_id_header,
                                   Duration undelivered_limit,
                                   HeadObserver on_any_head)
    : socket_(io),
      connect_timer_(io),
      delivery_timer_(io),
      delivery_(undelivered_limit),
      undelivered_limit_(undelivered_limit),
      endpoint_(std::move(endpoint)),
      attempt_id_header_(std::move(attempt_id_header)),
      on_any_head_(std::move(on_any_head)) {}

auto ServerConnection::Send(std::string request,
                            std::string attempt_id,
                            Duration connect_timeout,
                            std::shared_ptr<ServerExchange> exchange) -> void {
  request_ = std::move(request);
  attempt_id_ = std::move(attempt_id);
  exchange_ = std::move(exchange);
  was_used_ = !carried_.empty();
  was_id_carried_ = !carried_.insert(StableHash(attempt_id_)).second;
  sent_ = false;
  written_ = false;
  head_done_ = false;
  foreign_ = false;
  paused_ = false;
  delivery_limited_ = false;
  skipped_bytes_ = 0;
  parser_.reset();
  if (connected_) {
    WriteRequest();
  } else {
    Connect(connect_timeout);
  }
}

auto ServerConnection::Connect(Duration timeout) -> void {
  connect_timer_.expires_after(timeout);
  connect_timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code ec) {
        if (!ec && !self->connected_) {
          self->End(ExchangeEnd::kNotSent);
        }
      });
  socket_.async_connect(
      endpoint_, [self = shared_from_this()](boost::system::error_code ec) {
        self->connect_timer_.cancel();
        if (!self->usable_ || self->exchange_ == nullptr) {
          return;
        }
        if (ec) {
          self->End(ExchangeEnd::kNotSent);
          return;
        }
        self->connected_ = true;
        boost::system::error_code ignored;
        self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->LimitSystem(true);
        self->WriteRequest();
        self->ReadMore();
      });
}

auto ServerConnection::WriteRequest() -> void {
  sent_ = true;
  StopProbes(socket_.native_handle());
  LimitSystem(true);
  delivery_.Begin(Now());
  WatchDelivery();
  asio::async_write(
      socket_, asio::buffer(request_),
      [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
        self->written_ = !ec;
        // A failed write may follow an early answer, which the read finds.
        if (ec && !self->reading_) {
          self->End(ExchangeEnd::kBroken);
        }
      });
}

auto ServerConnection::WatchDelivery() -> void {
  delivery_timer_.expires_after(delivery_.UntilNextLook(Now()));
  delivery_timer_.async_wait([self = shared_from_this()](
                                 boost::system::error_code ec) {
    if (ec || !self->usable_ || self->exchange_ == nullptr) {
      return;
    }
    const std::size_t undelivered = self->Undelivered();
    const PeerRoom room = RoomOfPeer(self->socket_.native_handle());
    self->LimitSystem(room != PeerRoom::kNone &&
                      room != PeerRoom::kNoneOrCutOff);
    const bool is_waiting = room == PeerRoom::kNone && !self->delivery_limited_;
    if (self->delivery_.IsStalled(Now(), is_waiting ? 0 : undelivered)) {
      self->End(ExchangeEnd::kBroken);
    } else if (undelivered > 0 || !self->written_) {
      self->WatchDelivery();
    } else {
      ProbeSilentPeer(self->socket_.native_handle(), kProbes);
    }
  });
}

auto ServerConnection::LimitSystem(bool limited) -> void {
  if (system_limited_ == limited) {
    return;
  }
  system_limited_ = limited;
  const auto limit = std::chrono::ceil<std::chrono::milliseconds>(
      undelivered_limit_ + kSystemReserve);
  LimitUnacknowledged(socket_.native_handle(),
                      limited ? static_cast<int>(limit.count()) : 0);
}

auto ServerConnection::LimitDelivery() -> void {
  if (delivery_limited_ || exchange_ == nullptr || !sent_) {
    return;
  }
  if (Undelivered() > 0 || !written_) {
    delivery_limited_ = true;
    delivery_.Begin(Now());
    WatchDelivery();
  }
}

auto ServerConnection::Undelivered() -> std::size_t {
  return UnacknowledgedBytes(socket_.native_handle()).value_or(0);
}

auto ServerConnection::ReadMore() -> void {
  if (reading_ || !usable_ || paused_) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadSize),
      [self = shared_from_this()](boost::system::error_code ec,
                                  std::size_t length) {
        self->reading_ = false;
        if (ec) {
          self->OnReadEnd(ec == asio::error::eof);
          return;
        }
        self->buffer_.commit(length);
        self->OnBytes();
        self->ReadMore();
      });
}

auto ServerConnection::OnBytes() -> void {
  if (exchange_ == nullptr) {
    // Bytes that nobody asked for.
    ObserveStrayHead();
    Close();
    return;
  }
  while (usable_ && exchange_ != nullptr && buffer_.size() > 0 && !paused_) {
    if (!parser_.has_value()) {
      BeginParser();
    }
    boost::system::error_code error;
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (error && error != http::error::need_more) {
      End(ExchangeEnd::kBroken);
      return;
    }
    if (parser_->is_header_done() && !head_done_) {
      OnHeadDone();
    }
    if (exchange_ == nullptr) {
      return;
    }
    skipped_bytes_ += foreign_ ? used : 0;
    if (skipped_bytes_ > kMostSkipped) {
      End(ExchangeEnd::kBroken);
      return;
    }
    DeliverBody();
    if (exchange_ == nullptr) {
      return;
    }
    if (parser_->is_done()) {
      OnAnswerDone();
      continue;
    }
    if (error == http::error::need_more || used == 0) {
      if (buffer_.size() > kLongestUnparsed) {
        End(ExchangeEnd::kBroken);
      }
      return;
    }
  }
}

auto ServerConnection::BeginParser() -> void {
  parser_.emplace();
  parser_->header_limit(kLongestHead);
  parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
  parser_->eager(true);
  head_done_ = false;
}

auto ServerConnection::ObserveStrayHead() -> void {
  if (!connected_ || (parser_.has_value() && head_done_)) {
    return;
  }
  const auto unparsed = buffer_.cdata();
  std::string bytes(static_cast<const char*>(unparsed.data()), unparsed.size());
  boost::system::error_code error;
  const std::size_t come =
      std::min<std::size_t>(socket_.available(error), kLongestHead);
  if (!error && come > 0) {
    const std::size_t before = bytes.size();
    bytes.resize(before + come);
    socket_.non_blocking(true, error);
    const std::size_t read =
        socket_.read_some(asio::buffer(bytes.data() + before, come), error);
    bytes.resize(before + read);
  }
  if (bytes.empty()) {
    return;
  }
  if (!parser_.has_value()) {
    BeginParser();
  }
  parser_->put(asio::buffer(bytes), error);
  if (parser_->is_header_done()) {
    on_any_head_(parser_->get().base());
  }
}

auto ServerConnection::OnHeadDone() -> void {
  head_done_ = true;
  const AnswerHead& head = parser_->get().base();
  if (head.result_int() < kLeastStatus || head.result_int() > kMostStatus) {
    End(ExchangeEnd::kBroken);
    return;
  }
  on_any_head_(head);
  const auto echoed = HeaderValue(head, attempt_id_header_);
  foreign_ = (echoed.has_value() && *echoed != attempt_id_) ||
             parser_->get().result_int() < 200;
  if (foreign_) {
    return;
  }
  if (!IsAttributable(head)) {
    End(ExchangeEnd::kBroken);
    return;
  }
  exchange_->OnHead(head);
}

auto ServerConnection::IsAttributable(const AnswerHead& head) const -> bool {
  // Nothing but this request can have an answer on a new connection.
  return !was_used_ || (!was_id_carried_ && !attempt_id_.empty() &&
                        HeaderValue(head, attempt_id_header_) == attempt_id_);
}

auto ServerConnection::DeliverBody() -> void {
  std::string& body = parser_->get().body();
  if (body.empty()) {
    return;
  }
  const std::string bytes = std::exchange(body, {});
  if (!foreign_) {
    exchange_->OnBody(bytes);
  }
}

auto ServerConnection::OnAnswerDone() -> void {
  if (foreign_) {
    parser_.reset();
    return;
  }
  const AnswerHead& head = parser_->get().base();
  // Further bytes, or a request that is still going out, would mix up the
  // next answer.
  const bool reusable = parser_->keep_alive() && written_ &&
                        buffer_.size() == 0 && !parser_->need_eof();
  idle_until_ = std::chrono::steady_clock::now() + IdleTime(head);
  delivery_timer_.cancel();
  parser_.reset();
  if (!reusable) {
    if (buffer_.size() > 0) {
      ObserveStrayHead();
    }
    if (!written_ || Undelivered() > 0) {
      DropUnsentOnClose(socket_.native_handle());
    }
    Close();
  } else {
    // Probes must not end the connection while the next request goes out.
    StopProbes(socket_.native_handle());
  }
  End(ExchangeEnd::kWhole);
}

auto ServerConnection::OnReadEnd(bool clean) -> void {
  if (exchange_ == nullptr) {
    Close();
    return;
  }
  // While the request goes out, a failed write takes the error of a reset from
  // the socket, and what was read looks like a whole answer without a length.
  const bool is_delivered = written_ && Undelivered() == 0;
  if (clean && is_delivered && parser_.has_value() &&
      parser_->is_header_done() && !foreign_ && parser_->need_eof() &&
      !parser_->is_done()) {
    boost::system::error_code error;
    parser_->put_eof(error);
    if (!error) {
      Close();
      End(ExchangeEnd::kWhole);
      return;
    }
  }
  End(sent_ ? ExchangeEnd::kBroken : ExchangeEnd::kNotSent);
}

auto ServerConnection::End(ExchangeEnd end) -> void {
  if (end != ExchangeEnd::kWhole) {
    DropUnsentOnClose(socket_.native_handle());
    Close();
  }
  const auto exchange = std::exchange(exchange_, nullptr);
  if (exchange != nullptr) {
    exchange->OnEnd(end);
  }
}

auto ServerConnection::Cancel() -> void {
  if (std::exchange(exchange_, nullptr) != nullptr) {
    ObserveStrayHead();
    DropUnsentOnClose(socket_.native_handle());
  }
  Close();
}

auto ServerConnection::Pause() -> void {
  paused_ = true;
}

auto ServerConnection::Resume() -> void {
  if (!paused_) {
    return;
  }
  paused_ = false;
  OnBytes();
  ReadMore();
}

auto ServerConnection::BecomeIdle() -> void {
  request_ = {};
  ReadMore();
}

auto ServerConnection::IsReusable(
    std::chrono::steady_clock::time_point now) const -> bool {
  return usable_ && connected_ && exchange_ == nullptr &&
         carried_.size() < kMostRequests && now < idle_until_;
}

auto ServerConnection::CanTellApart(std::string_view attempt_id) const -> bool {
  return carried_.empty() ||
         (!attempt_id.empty() && !carried_.contains(StableHash(attempt_id)));
}

auto ServerConnection::Close() -> void {
  usable_ = false;
  boost::system::error_code ignored;
  connect_timer_.cancel();
  delivery_timer_.cancel();
  socket_.close(ignored);
}

}  // namespace zinniastep
