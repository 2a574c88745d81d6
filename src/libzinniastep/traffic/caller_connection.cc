#include "libzinniastep/traffic/caller_connection.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/error.hpp>

#include "libzinniastep/runtime/socket_options.h"
#include "libzinniastep/traffic/http_text.h"

namespace zinniastep {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// Bytes taken from the socket at a time.
constexpr std::size_t kReadSize = 8192;
// Bytes of later requests that are kept while one is under way.
constexpr std::size_t kMostReadAhead = 65536;
// A closing connection is read on for this long, since unread bytes would
// reset it before the caller has the answer.
constexpr Duration kLingerTime = std::chrono::seconds(1);
// A caller that left behind a cut is found when the cut heals; until then it
// may be sound, and callers wait for longer than most cuts last.
constexpr int kProbes = 10;

auto StatusFor(const boost::system::error_code& error) -> http::status {
  if (error == http::error::header_limit) {
    return http::status::request_header_fields_too_large;
  }
  if (error == http::error::body_limit) {
    return http::status::payload_too_large;
  }
  return http::status::bad_request;
}

}  // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket,
                                   LimitsSource limits,
                                   Handler handler,
                                   std::shared_ptr<HeldBytes> held)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      limits_source_(std::move(limits)),
      handler_(std::move(handler)),
      held_(std::move(held), [this] { OnExcess(); }) {}

auto CallerConnection::Start() -> void {
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  ProbeSilentPeer(socket_.native_handle(), kProbes);
  BeginIdle();
  ReadMore();
}

auto CallerConnection::Watch(std::function<void()> on_gone,
                             std::function<void()> on_drained,
                             std::function<void()> on_excess) -> void {
  on_gone_ = std::move(on_gone);
  on_drained_ = std::move(on_drained);
  on_excess_ = std::move(on_excess);
}

auto CallerConnection::SetRequestBytes(std::size_t bytes) -> void {
  request_bytes_ = bytes;
  UpdateHeld();
}

auto CallerConnection::UpdateHeld() -> void {
  if (closed_) {
    return;
  }
  const std::size_t being_read =
      parser_.has_value() ? parser_->get().body().size() : 0;
  held_.Set(unsent_ + request_bytes_ + being_read);
}

auto CallerConnection::OnExcess() -> void {
  const auto self = shared_from_this();
  if (const auto on_excess = std::exchange(on_excess_, nullptr)) {
    on_excess();
  } else if (!busy_ && parser_.has_value()) {
    RefuseUnread();
  } else {
    BreakOff();
  }
}

auto CallerConnection::Arm(Duration time) -> void {
  timer_.expires_after(time);
  timer_.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    if (!ec && !self->busy_) {
      if (self->parser_.has_value() && self->parser_->got_some()) {
        self->RejectRequest(WholeAnswer(http::status::request_timeout, 11));
      } else {
        self->OnIdle();
      }
    }
  });
}

auto CallerConnection::BeginIdle() -> void {
  idle_since_ = std::chrono::steady_clock::now();
  Arm(limits_source_().idle_timeout);
}

auto CallerConnection::OnIdle() -> void {
  // Callers keep to the time that is in force, not to the one at its beginning.
  const auto end = idle_since_ + limits_source_().idle_timeout;
  const auto now = std::chrono::steady_clock::now();
  if (now < end) {
    Arm(std::chrono::ceil<Duration>(end - now));
    return;
  }
  Close();
}

auto CallerConnection::ReadMore() -> void {
  if (reading_ || closed_ || (busy_ && buffer_.size() >= kMostReadAhead)) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadSize),
      [self = shared_from_this()](boost::system::error_code ec,
                                  std::size_t length) {
        self->reading_ = false;
        if (ec) {
          self->OnReadEnd();
          return;
        }
        self->buffer_.commit(length);
        if (self->closing_) {
          self->buffer_.consume(self->buffer_.size());
        } else if (!self->busy_) {
          self->Parse();
        }
        self->ReadMore();
      });
}

auto CallerConnection::OnReadEnd() -> void {
  if (closed_) {
    return;
  }
  const auto gone = std::exchange(on_gone_, nullptr);
  Close();
  if (gone) {
    gone();
  }
}

auto CallerConnection::Parse() -> void {
  while (!closed_ && !busy_ && !closing_ && buffer_.size() > 0) {
    if (!parser_.has_value()) {
      parser_.emplace();
      limits_ = limits_source_();
      parser_->header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
      parser_->body_limit(limits_.body_bytes);
      parser_->eager(true);
      continue_sent_ = false;
      Arm(limits_.header_timeout);
    }
    boost::system::error_code error;
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (error && error != http::error::need_more) {
      RejectRequest(WholeAnswer(StatusFor(error), 11));
      return;
    }
    UpdateHeld();
    if (parser_->is_header_done() && !parser_->is_done()) {
      Arm(limits_.idle_timeout);
      if (!continue_sent_ && IsContinueExpected(parser_->get())) {
        continue_sent_ = true;
        Enqueue("HTTP/1.1 100 Continue\r\n\r\n");
      }
    }
    if (parser_->is_done()) {
      OnRequest();
      return;
    }
    if (error == http::error::need_more || used == 0) {
      if (buffer_.size() > limits_.header_bytes + kMostReadAhead) {
        // The header of a chunk, or a trailer, without an end.
        RejectRequest(WholeAnswer(http::status::bad_request, 11));
      }
      return;
    }
  }
}

auto CallerConnection::OnRequest() -> void {
  CallerRequest request = parser_->release();
  parser_.reset();
  timer_.cancel();
  if (!IsFramingSafe(request)) {
    RejectRequest(WholeAnswer(http::status::bad_request, 11));
    return;
  }
  busy_ = true;
  finished_ = false;
  keep_alive_ = request.keep_alive();
  request_read_ = std::chrono::steady_clock::now();
  handler_(shared_from_this(), std::move(request));
}

auto CallerConnection::RefuseUnread() -> void {
  if (busy_ || closing_ || closed_ || !parser_.has_value()) {
    return;
  }
  WholeAnswer answer(http::status::service_unavailable, 11);
  answer.set(http::field::retry_after, "0");
  RejectRequest(std::move(answer));
}

auto CallerConnection::RejectRequest(WholeAnswer answer) -> void {
  parser_.reset();
  busy_ = true;
  keep_alive_ = false;
  Answer(std::move(answer));
}

auto CallerConnection::SetConnectionHeader(AnswerHead& head) -> void {
  if (shutting_down_) {
    keep_alive_ = false;
  }
  if (!keep_alive_) {
    head.set(http::field::connection, "close");
  }
}

auto CallerConnection::Answer(WholeAnswer answer) -> void {
  SetConnectionHeader(answer.base());
  answer.prepare_payload();
  std::string text = HeadText(answer.base());
  text.append(answer.body());
  finished_ = true;
  on_gone_ = nullptr;
  on_excess_ = nullptr;
  Enqueue(std::move(text));
}

auto CallerConnection::BeginAnswer(AnswerHead head) -> void {
  chunked_ = head.find(http::field::content_length) == head.end();
  if (chunked_) {
    head.set(http::field::transfer_encoding, "chunked");
  }
  SetConnectionHeader(head);
  Enqueue(HeadText(head));
}

auto CallerConnection::Write(std::string_view bytes) -> void {
  if (bytes.empty()) {
    return;
  }
  if (!chunked_) {
    Enqueue(std::string(bytes));
    return;
  }
  Enqueue(boost::beast::buffers_to_string(
      http::make_chunk(asio::const_buffer(bytes.data(), bytes.size()))));
}

auto CallerConnection::Finish() -> void {
  finished_ = true;
  on_gone_ = nullptr;
  on_excess_ = nullptr;
  if (chunked_) {
    Enqueue(boost::beast::buffers_to_string(http::make_chunk_last()));
  } else if (!writing_) {
    OnAnswerDone();
  }
}

auto CallerConnection::Enqueue(std::string bytes) -> void {
  if (closed_) {
    return;
  }
  unsent_ += bytes.size();
  outgoing_.push_back(std::move(bytes));
  UpdateHeld();
  if (!writing_) {
    WriteNext();
  }
}

auto CallerConnection::WriteNext() -> void {
  writing_ = true;
  asio::async_write(
      socket_, asio::buffer(outgoing_.front()),
      [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
        self->writing_ = false;
        if (ec || self->closed_) {
          self->OnReadEnd();
          return;
        }
        self->unsent_ -= self->outgoing_.front().size();
        self->outgoing_.pop_front();
        self->UpdateHeld();
        if (!self->outgoing_.empty()) {
          self->WriteNext();
          return;
        }
        if (self->on_drained_) {
          self->on_drained_();
        }
        if (self->busy_ && self->finished_ && self->outgoing_.empty()) {
          self->OnAnswerDone();
        }
      });
}

auto CallerConnection::OnAnswerDone() -> void {
  busy_ = false;
  finished_ = false;
  on_gone_ = nullptr;
  on_drained_ = nullptr;
  on_excess_ = nullptr;
  SetRequestBytes(0);
  if (!keep_alive_) {
    CloseGently();
    return;
  }
  BeginIdle();
  Parse();
  ReadMore();
}

auto CallerConnection::CloseGently() -> void {
  closing_ = true;
  boost::system::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  timer_.expires_after(kLingerTime);
  timer_.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    if (!ec) {
      self->Close();
    }
  });
  ReadMore();
}

auto CallerConnection::BreakOff() -> void {
  on_gone_ = nullptr;
  on_drained_ = nullptr;
  on_excess_ = nullptr;
  Close();
}

auto CallerConnection::BeginShutdown() -> void {
  shutting_down_ = true;
}

auto CallerConnection::CloseIfIdle() -> void {
  if (!busy_ && !closing_ && !parser_.has_value() && buffer_.size() == 0) {
    CloseGently();
  }
}

auto CallerConnection::Close() -> void {
  if (closed_) {
    return;
  }
  closed_ = true;
  held_.Set(0);
  on_excess_ = nullptr;
  boost::system::error_code ignored;
  timer_.cancel();
  socket_.close(ignored);
}

}  // namespace zinniastep
