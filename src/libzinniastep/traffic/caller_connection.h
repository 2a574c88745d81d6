#ifndef LIBZINNIASTEP_TRAFFIC_CALLER_CONNECTION_H_
#define LIBZINNIASTEP_TRAFFIC_CALLER_CONNECTION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "libzinniastep/gateway/traffic_policy.h"
#include "libzinniastep/traffic/held_bytes.h"
#include "libzinniastep/traffic/held_share.h"
#include "libzinniastep/traffic/request_reader.h"

namespace zinniastep {

using WholeAnswer =
    boost::beast::http::response<boost::beast::http::string_body>;
using AnswerHead = boost::beast::http::response_header<>;

// One caller's connection: it reads requests whole, one after the other, and
// writes their answers in pieces. While an answer is awaited it goes on reading
// to notice a caller who leaves. Used on the traffic thread only.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  using Handler = std::function<void(std::shared_ptr<CallerConnection>,
                                     CallerRequest request)>;
  // Returns what callers may send now; asked for each request and idle time.
  using LimitsSource = std::function<CallerLimits()>;

  CallerConnection(boost::asio::ip::tcp::socket socket,
                   LimitsSource limits,
                   Handler handler,
                   std::shared_ptr<HeldBytes> held);

  // Begins to read.
  auto Start() -> void;

  // Sets what is called when the caller leaves before the answer's end, when
  // all that was written has gone out, and when the request must end since the
  // host holds too many bytes.
  auto Watch(std::function<void()> on_gone,
             std::function<void()> on_drained,
             std::function<void()> on_excess) -> void;

  // Sets the bytes that the request under way holds besides unsent().
  auto SetRequestBytes(std::size_t bytes) -> void;

  // Writes a whole answer.
  auto Answer(WholeAnswer answer) -> void;

  // Writes an answer's head; its body follows by Write and ends with Finish.
  // Unless the head has a length, the body goes out in chunks.
  auto BeginAnswer(AnswerHead head) -> void;
  auto Write(std::string_view bytes) -> void;
  auto Finish() -> void;

  // Closes the connection so that an unfinished answer cannot look complete.
  auto BreakOff() -> void;

  // Tells callers to go elsewhere after the answers under way.
  auto BeginShutdown() -> void;
  // Closes the connection if no request is under way.
  auto CloseIfIdle() -> void;
  // Refuses a request of which a part has come, as not run.
  auto RefuseUnread() -> void;

  // Closes a connection to make room for others.
  auto CloseForRoom() -> void;

  // Whether no request is under way and no answer is on its way out.
  [[nodiscard]] auto may_close_for_room() const -> bool {
    return !closed_ && !busy_;
  }
  // When the connection became idle, or its unfinished request began.
  [[nodiscard]] auto waiting_since() const
      -> std::chrono::steady_clock::time_point {
    return waiting_since_;
  }

  // Bytes that wait to go out.
  [[nodiscard]] auto unsent() const -> std::size_t { return unsent_; }
  [[nodiscard]] auto closed() const -> bool { return closed_; }
  [[nodiscard]] auto busy() const -> bool { return busy_; }
  // When the request under way had been read whole.
  [[nodiscard]] auto request_read() const
      -> std::chrono::steady_clock::time_point {
    return request_read_;
  }

 private:
  auto ReadMore() -> void;
  auto OnReadable() -> void;
  auto OnReadEnd() -> void;
  // Whether no more is read until the request under way is over.
  [[nodiscard]] auto IsFull() const -> bool;
  // Takes bytes while no request is under way, and returns how many were used.
  auto Take(std::string_view bytes) -> std::size_t;
  auto TakeAhead() -> void;
  // Limits the time of a body that has not come whole.
  auto ArmForBody() -> void;
  auto OnRequest() -> void;
  auto RejectRequest(WholeAnswer answer) -> void;
  auto Arm(Duration time) -> void;
  // Begins the time that the caller may stay idle.
  auto BeginIdle() -> void;
  // Closes a connection that has been idle for as long as it may now.
  auto OnIdle() -> void;
  auto Enqueue(std::string bytes) -> void;
  auto WriteNext() -> void;
  auto OnWritten(std::size_t length) -> void;
  // Bytes of answers that the caller's system has acknowledged.
  auto Taken() -> std::uint64_t;
  // Closes the connection when the caller takes nothing for too long.
  auto WatchTaking() -> void;
  auto LookAtTaking() -> void;
  // Keeps a finished answer from being ended for memory for a while.
  auto KeepReady() -> void;
  auto OnAnswerDone() -> void;
  auto CloseGently() -> void;
  auto UpdateHeld() -> void;
  // Drops what is held for this caller, with what is known of its request.
  auto OnExcess() -> void;
  auto Close() -> void;
  auto SetConnectionHeader(AnswerHead& head) -> void;

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer taking_timer_;
  LimitsSource limits_source_;
  // Limits of the request that is being read.
  CallerLimits limits_;
  Handler handler_;
  std::function<void()> on_gone_;
  std::function<void()> on_drained_;
  std::function<void()> on_excess_;
  HeldShare held_;
  std::size_t request_bytes_ = 0;
  RequestReader reader_;
  // Memory of the head of the request under way.
  std::size_t head_cost_ = 0;
  // Bytes of later requests that came while one is under way, and how many of
  // them have been used.
  std::string ahead_;
  std::size_t ahead_used_ = 0;
  std::deque<std::string> outgoing_;
  // Bytes of the first of these that have gone out.
  std::size_t written_ = 0;
  std::size_t unsent_ = 0;
  bool reading_ = false;
  bool writing_ = false;
  bool busy_ = false;
  bool finished_ = false;
  bool chunked_ = false;
  bool keep_alive_ = true;
  bool shutting_down_ = false;
  bool continue_sent_ = false;
  bool closing_ = false;
  bool closed_ = false;
  std::chrono::steady_clock::time_point request_read_;
  std::chrono::steady_clock::time_point idle_since_;
  std::chrono::steady_clock::time_point waiting_since_;
  std::chrono::steady_clock::time_point body_since_;
  bool is_watching_ = false;
  std::uint64_t all_written_ = 0;
  // Bytes that the caller had taken when that changed last, and when it did.
  std::uint64_t taken_ = 0;
  std::chrono::steady_clock::time_point taken_at_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_TRAFFIC_CALLER_CONNECTION_H_
