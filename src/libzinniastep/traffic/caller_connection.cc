#include "libzinniastep/traffic/caller_connection.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>

#include "libzinniastep/runtime/socket_options.h"
#include "libzinniastep/traffic/http_text.h"

namespace zinniastep {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// Bytes taken from the socket at a time.
constexpr std::size_t kReadSize = 8192;
// Bytes of later requests that are kept while one is under way, and while
// memory is scarce.
constexpr std::size_t kMostReadAhead = 65536;
constexpr std::size_t kScarceReadAhead = 4096;
// Memory of a connection that holds nothing, in bytes: this object, the
// system's handlers for it, and what a request adds besides its bytes.
constexpr std::size_t kConnectionCost = 4096;
// A body may take this many times the idle time, and a second more for each of
// these bytes: a caller at a modem's speed is within it.
constexpr int kBodyIdleTimes = 20;
constexpr std::size_t kSlowestBody = 1024;
// How often it is looked whether a caller takes its answer.
constexpr Duration kTakingLook = std::chrono::seconds(1);
// An answer counts as being taken for this long after a part of it was.
constexpr Duration kTakingTime = std::chrono::seconds(2);
// A closing connection is read on for this long, since unread bytes would
// reset it before the caller has the answer.
constexpr Duration kLingerTime = std::chrono::seconds(1);
// A caller that left behind a cut is found when the cut heals; until then it
// may be sound, and callers wait for longer than most cuts last.
constexpr int kProbes = 10;

}  // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket,
                                   LimitsSource limits,
                                   Handler handler,
                                   std::shared_ptr<HeldBytes> held)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      taking_timer_(socket_.get_executor()),
      limits_source_(std::move(limits)),
      handler_(std::move(handler)),
      held_(std::move(held), [this] { OnExcess(); }) {}

auto CallerConnection::Start() -> void {
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  ProbeSilentPeer(socket_.native_handle(), kProbes);
  UpdateHeld();
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
  held_.Set(kConnectionCost + unsent_ + request_bytes_ + head_cost_ +
            reader_.cost() + ahead_.capacity());
}

auto CallerConnection::OnExcess() -> void {
  const auto self = shared_from_this();
  if (const auto on_excess = std::exchange(on_excess_, nullptr)) {
    on_excess();
  } else if (!busy_ && reader_.state() != RequestReader::State::kIdle) {
    RefuseUnread();
  } else {
    BreakOff();
  }
}

auto CallerConnection::Arm(Duration time) -> void {
  timer_.expires_after(time);
  timer_.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    if (!ec && !self->busy_ && !self->closed_) {
      if (self->reader_.state() != RequestReader::State::kIdle) {
        self->held_.all().reports().Add(kRequestTooSlow);
        self->RejectRequest(WholeAnswer(http::status::request_timeout, 11));
      } else {
        self->OnIdle();
      }
    }
  });
}

auto CallerConnection::BeginIdle() -> void {
  idle_since_ = std::chrono::steady_clock::now();
  waiting_since_ = idle_since_;
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

auto CallerConnection::IsFull() const -> bool {
  const std::size_t most =
      held_.all().is_scarce() ? kScarceReadAhead : kMostReadAhead;
  return busy_ && ahead_.size() - ahead_used_ >= most;
}

auto CallerConnection::ReadMore() -> void {
  if (reading_ || closed_ || IsFull()) {
    return;
  }
  reading_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](boost::system::error_code ec) {
                       self->reading_ = false;
                       if (ec) {
                         self->OnReadEnd();
                       } else if (self->held_.all().is_over()) {
                         // The largest shares are ended first.
                         asio::post(self->socket_.get_executor(),
                                    [self] { self->ReadMore(); });
                       } else {
                         self->OnReadable();
                       }
                     });
}

auto CallerConnection::OnReadable() -> void {
  if (closed_) {
    return;
  }
  // Only what is kept takes memory of the connection.
  std::array<char, kReadSize> buffer;
  boost::system::error_code error;
  const std::size_t length = socket_.read_some(asio::buffer(buffer), error);
  if (error && error != asio::error::would_block) {
    OnReadEnd();
    return;
  }
  const std::string_view bytes(buffer.data(), length);
  const std::size_t used = Take(bytes);
  // Nothing that follows the last request is read.
  if (busy_ && keep_alive_ && used < length) {
    ahead_.erase(0, std::exchange(ahead_used_, 0));
    ahead_.append(bytes.substr(used));
    UpdateHeld();
  }
  ReadMore();
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

auto CallerConnection::Take(std::string_view bytes) -> std::size_t {
  using State = RequestReader::State;
  std::size_t used = 0;
  while (!closed_ && !busy_ && !closing_ && used < bytes.size()) {
    if (reader_.state() == State::kIdle) {
      limits_ = limits_source_();
      reader_.Begin(limits_);
      continue_sent_ = false;
      waiting_since_ = std::chrono::steady_clock::now();
      Arm(limits_.header_timeout);
    }
    const bool was_in_body = reader_.state() == State::kInBody;
    used += reader_.Take(bytes.substr(used));
    if (reader_.state() == State::kInvalid) {
      RejectRequest(WholeAnswer(reader_.refusal(), 11));
      return bytes.size();
    }
    UpdateHeld();
    if (reader_.state() == State::kInBody) {
      if (!was_in_body) {
        body_since_ = std::chrono::steady_clock::now();
      }
      ArmForBody();
      if (!continue_sent_ && reader_.expects_continue()) {
        continue_sent_ = true;
        Enqueue("HTTP/1.1 100 Continue\r\n\r\n");
      }
    } else if (reader_.state() == State::kWhole) {
      OnRequest();
    }
  }
  return used;
}

auto CallerConnection::TakeAhead() -> void {
  // Later requests stay where they are until it is their turn.
  while (!busy_ && !closing_ && !closed_ && ahead_used_ < ahead_.size()) {
    ahead_used_ += Take(std::string_view(ahead_).substr(ahead_used_));
  }
  if (ahead_used_ >= ahead_.size()) {
    ahead_ = {};
    ahead_used_ = 0;
    UpdateHeld();
  }
}

auto CallerConnection::ArmForBody() -> void {
  const auto taken = std::chrono::steady_clock::now() - body_since_;
  const Duration most =
      kBodyIdleTimes * limits_.idle_timeout +
      std::chrono::seconds(reader_.body_bytes() / kSlowestBody);
  const auto left = std::chrono::duration_cast<Duration>(most - taken);
  Arm(std::clamp(left, Duration(0), limits_.idle_timeout));
}

auto CallerConnection::OnRequest() -> void {
  head_cost_ = reader_.head_cost();
  CallerRequest request = reader_.Release();
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
  if (busy_ || closing_ || closed_ ||
      reader_.state() == RequestReader::State::kIdle) {
    return;
  }
  WholeAnswer answer(http::status::service_unavailable, 11);
  answer.set(http::field::retry_after, "0");
  RejectRequest(std::move(answer));
}

auto CallerConnection::RejectRequest(WholeAnswer answer) -> void {
  reader_.Reset();
  head_cost_ = 0;
  ahead_ = {};
  ahead_used_ = 0;
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
  std::string body = std::move(answer.body());
  if (body.size() <= kReadSize) {
    text.append(body);
    body = {};
  }
  finished_ = true;
  KeepReady();
  on_gone_ = nullptr;
  on_excess_ = nullptr;
  Enqueue(std::move(text));
  if (!body.empty()) {
    // A long body is not copied behind its head, which would take its memory
    // twice.
    Enqueue(std::move(body));
  }
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
  KeepReady();
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
  WatchTaking();
  socket_.async_write_some(
      asio::buffer(outgoing_.front()) + written_,
      [self = shared_from_this()](boost::system::error_code ec,
                                  std::size_t length) {
        self->writing_ = false;
        if (ec || self->closed_) {
          self->OnReadEnd();
          return;
        }
        self->OnWritten(length);
      });
}

auto CallerConnection::OnWritten(std::size_t length) -> void {
  written_ += length;
  unsent_ -= length;
  all_written_ += length;
  KeepReady();
  if (written_ == outgoing_.front().size()) {
    outgoing_.pop_front();
    written_ = 0;
  }
  UpdateHeld();
  if (!outgoing_.empty()) {
    WriteNext();
    return;
  }
  if (on_drained_) {
    on_drained_();
  }
  if (busy_ && finished_ && outgoing_.empty()) {
    OnAnswerDone();
  }
}

auto CallerConnection::Taken() -> std::uint64_t {
  // What the system holds is not taken yet.
  return all_written_ -
         UnacknowledgedBytes(socket_.native_handle()).value_or(0);
}

auto CallerConnection::WatchTaking() -> void {
  if (is_watching_) {
    return;
  }
  is_watching_ = true;
  taken_ = Taken();
  taken_at_ = std::chrono::steady_clock::now();
  LookAtTaking();
}

auto CallerConnection::LookAtTaking() -> void {
  taking_timer_.expires_after(kTakingLook);
  taking_timer_.async_wait([self = shared_from_this()](
                               boost::system::error_code ec) {
    if (ec || self->closed_ || !self->writing_) {
      self->is_watching_ = false;
      return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (self->Taken() != self->taken_) {
      self->taken_ = self->Taken();
      self->taken_at_ = now;
      self->KeepReady();
    } else if (now - self->taken_at_ >= self->limits_source_().answer_stall) {
      self->held_.all().reports().Add(kAnswerNotTaken);
      self->OnReadEnd();
      return;
    }
    self->LookAtTaking();
  });
}

auto CallerConnection::KeepReady() -> void {
  if (finished_) {
    held_.SetReady(std::chrono::steady_clock::now() + kTakingTime);
  }
}

auto CallerConnection::OnAnswerDone() -> void {
  busy_ = false;
  finished_ = false;
  on_gone_ = nullptr;
  on_drained_ = nullptr;
  on_excess_ = nullptr;
  held_.SetReady({});
  head_cost_ = 0;
  SetRequestBytes(0);
  if (!keep_alive_) {
    CloseGently();
    return;
  }
  BeginIdle();
  TakeAhead();
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
  if (!busy_ && !closing_ && reader_.state() == RequestReader::State::kIdle) {
    CloseGently();
  }
}

auto CallerConnection::CloseForRoom() -> void {
  held_.all().reports().Add(kNoRoomForConnection);
  Close();
}

auto CallerConnection::Close() -> void {
  if (closed_) {
    return;
  }
  closed_ = true;
  held_.Set(0);
  on_excess_ = nullptr;
  reader_.Reset();
  ahead_ = {};
  ahead_used_ = 0;
  boost::system::error_code ignored;
  timer_.cancel();
  taking_timer_.cancel();
  socket_.close(ignored);
}

}  // namespace zinniastep
