#ifndef TESTS_TRAFFIC_RAW_CALLER_H_
#define TESTS_TRAFFIC_RAW_CALLER_H_

#include <chrono>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "tests/traffic/engine_host.h"

namespace zinniastep::testing {

// A caller's connection that sends bytes as they are given.
class RawCaller {
 public:
  // Connects to "address:port". An unreachable address leaves a caller whose
  // answers have the status 0.
  explicit RawCaller(std::string_view address);

  auto Send(std::string_view bytes) -> void;

  // Reads the next answer; its status is 0 if none came in time.
  auto ReadAnswer(std::chrono::milliseconds patience) -> CallerAnswer;

 private:
  boost::asio::io_context io_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
};

}  // namespace zinniastep::testing

#endif  // TESTS_TRAFFIC_RAW_CALLER_H_
