#ifndef LIBZINNIASTEP_TRAFFIC_REQUEST_READER_H_
#define LIBZINNIASTEP_TRAFFIC_REQUEST_READER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "libzinniastep/gateway/traffic_policy.h"

namespace zinniastep {

using CallerRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

// Assembles one request at a time from bytes as they come. A head is kept as
// bytes until its end has come, since a parsed head of short fields takes some
// thirty times its bytes.
class RequestReader {
 public:
  enum class State : std::uint8_t {
    // No byte of a request has come.
    kIdle,
    kInHead,
    kInBody,
    kWhole,
    // The request breaks the protocol or a limit.
    kInvalid,
  };

  // Begins a request within limits.
  auto Begin(const CallerLimits& limits) -> void;

  // Takes bytes of the request, and returns how many were its own.
  auto Take(std::string_view bytes) -> std::size_t;

  // Returns the whole request, and is idle from then on.
  [[nodiscard]] auto Release() -> CallerRequest;

  // Drops what has come.
  auto Reset() -> void;

  [[nodiscard]] auto state() const -> State { return state_; }
  // The status with which an invalid request is refused.
  [[nodiscard]] auto refusal() const -> boost::beast::http::status;
  // Whether the caller waits for a go-ahead before its body.
  [[nodiscard]] auto expects_continue() const -> bool;
  // Bytes of the body that have come.
  [[nodiscard]] auto body_bytes() const -> std::size_t;
  // Memory that the parsed head takes, in bytes.
  [[nodiscard]] auto head_cost() const -> std::size_t { return head_cost_; }
  // Memory that all of the request takes, in bytes.
  [[nodiscard]] auto cost() const -> std::size_t;

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  auto TakeHead(std::string_view bytes) -> std::size_t;
  auto TakeBody(std::string_view bytes) -> std::size_t;
  // Parses as much as can be, and returns the number of bytes parsed.
  auto Parse(std::string_view bytes) -> std::size_t;
  // Finds out whether a first line is none of HTTP, before the head's end.
  auto CheckFirstLine() -> void;
  auto Fail(boost::system::error_code error) -> void;

  State state_ = State::kIdle;
  CallerLimits limits_;
  // Bytes of a head without its end, or those of a body that the parser can
  // only take with more.
  std::string unparsed_;
  std::optional<Parser> parser_;
  std::size_t head_cost_ = 0;
  boost::system::error_code error_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_TRAFFIC_REQUEST_READER_H_
