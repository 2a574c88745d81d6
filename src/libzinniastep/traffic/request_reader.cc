#include "libzinniastep/traffic/request_reader.h"

#include <algorithm>
#include <utility>

#include <boost/asio/buffer.hpp>

#include "libzinniastep/traffic/http_text.h"

namespace zinniastep {

namespace {

namespace http = boost::beast::http;

constexpr std::string_view kHeadEnd = "\r\n\r\n";
// Memory that a field takes besides its name and value: a node with two hooks
// and its allocation.
constexpr std::size_t kFieldCost = 112;

auto CostOf(const http::fields& head) -> std::size_t {
  std::size_t cost = 0;
  for (const auto& field : head) {
    cost += kFieldCost + field.name_string().size() + field.value().size();
  }
  return cost;
}

}  // namespace

auto RequestReader::refusal() const -> http::status {
  if (error_ == http::error::header_limit) {
    return http::status::request_header_fields_too_large;
  }
  if (error_ == http::error::body_limit) {
    return http::status::payload_too_large;
  }
  return http::status::bad_request;
}

auto RequestReader::Begin(const CallerLimits& limits) -> void {
  Reset();
  limits_ = limits;
  state_ = State::kInHead;
}

auto RequestReader::Take(std::string_view bytes) -> std::size_t {
  std::size_t used = 0;
  if (state_ == State::kInHead) {
    used = TakeHead(bytes);
  }
  if (state_ == State::kInBody && used < bytes.size()) {
    used += TakeBody(bytes.substr(used));
  }
  return used;
}

auto RequestReader::TakeHead(std::string_view bytes) -> std::size_t {
  const std::size_t before = unparsed_.size();
  const std::size_t room = limits_.header_bytes - before;
  unparsed_.append(bytes.substr(0, room));
  const std::size_t overlap = std::min(before, kHeadEnd.size() - 1);
  const std::size_t end = unparsed_.find(kHeadEnd, before - overlap);
  if (end == std::string::npos) {
    if (bytes.size() >= room) {
      Fail(http::make_error_code(http::error::header_limit));
    } else if (before == 0) {
      CheckFirstLine();
    }
    return std::min(bytes.size(), room);
  }
  unparsed_.resize(end + kHeadEnd.size());
  const std::string head = std::exchange(unparsed_, {});
  parser_.emplace();
  parser_->header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
  parser_->body_limit(limits_.body_bytes);
  parser_->eager(true);
  state_ = State::kInBody;
  Parse(head);
  if (state_ == State::kInBody && !parser_->is_header_done()) {
    Fail(http::make_error_code(http::error::bad_field));
  }
  if (state_ != State::kInvalid) {
    head_cost_ = CostOf(parser_->get().base());
  }
  return head.size() - before;
}

auto RequestReader::TakeBody(std::string_view bytes) -> std::size_t {
  if (unparsed_.empty()) {
    const std::size_t used = Parse(bytes);
    if (state_ == State::kInBody) {
      unparsed_.assign(bytes.substr(used));
      return bytes.size();
    }
    return used;
  }
  unparsed_.append(bytes);
  const std::size_t size = unparsed_.size();
  const std::size_t used = Parse(unparsed_);
  if (state_ != State::kInBody) {
    const std::size_t left = size - used;
    unparsed_ = {};
    return bytes.size() - std::min(left, bytes.size());
  }
  unparsed_.erase(0, used);
  if (unparsed_.empty()) {
    unparsed_ = {};
  }
  if (unparsed_.size() > limits_.header_bytes) {
    // The header of a chunk, or a trailer, without an end.
    Fail(http::make_error_code(http::error::bad_chunk));
  }
  return bytes.size();
}

auto RequestReader::Parse(std::string_view bytes) -> std::size_t {
  std::size_t used = 0;
  while (used < bytes.size() && !parser_->is_done()) {
    boost::system::error_code error;
    const std::size_t taken = parser_->put(
        boost::asio::const_buffer(bytes.data() + used, bytes.size() - used),
        error);
    used += taken;
    if (error && error != http::error::need_more) {
      Fail(error);
      return used;
    }
    if (error == http::error::need_more || taken == 0) {
      break;
    }
  }
  if (parser_->is_done()) {
    state_ = State::kWhole;
  }
  return used;
}

auto RequestReader::CheckFirstLine() -> void {
  const std::size_t end = unparsed_.find('\n');
  const std::string_view line = std::string_view(unparsed_).substr(
      0, end == std::string::npos ? end : end + 1);
  Parser parser;
  parser.header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
  boost::system::error_code error;
  parser.put(boost::asio::const_buffer(line.data(), line.size()), error);
  if (error && error != http::error::need_more) {
    Fail(error);
  }
}

auto RequestReader::Fail(boost::system::error_code error) -> void {
  Reset();
  error_ = error;
  state_ = State::kInvalid;
}

auto RequestReader::Release() -> CallerRequest {
  CallerRequest request = parser_->release();
  Reset();
  return request;
}

auto RequestReader::Reset() -> void {
  state_ = State::kIdle;
  unparsed_ = {};
  parser_.reset();
  head_cost_ = 0;
  error_ = {};
}

auto RequestReader::expects_continue() const -> bool {
  return state_ == State::kInBody && IsContinueExpected(parser_->get());
}

auto RequestReader::body_bytes() const -> std::size_t {
  return parser_.has_value() ? parser_->get().body().size() : 0;
}

auto RequestReader::cost() const -> std::size_t {
  return unparsed_.capacity() + head_cost_ + body_bytes();
}

}  // namespace zinniastep
