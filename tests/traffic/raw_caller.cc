#include "tests/traffic/raw_caller.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include "libzinniastep/traffic/http_text.h"
#include "libzinniastep/traffic/socket_address.h"

namespace zinniastep::testing {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

}  // namespace

RawCaller::RawCaller(std::string_view address) : stream_(io_) {
  boost::system::error_code ignored;
  stream_.socket().connect(*ParseEndpoint(address), ignored);
}

auto RawCaller::Send(std::string_view bytes) -> void {
  boost::system::error_code ignored;
  asio::write(stream_.socket(), asio::buffer(bytes.data(), bytes.size()),
              ignored);
}

auto RawCaller::ReadAnswer(std::chrono::milliseconds patience) -> CallerAnswer {
  http::response_parser<http::string_body> parser;
  CallerAnswer answer;
  stream_.expires_after(patience);
  http::async_read(stream_, buffer_, parser,
                   [&](boost::system::error_code error, std::size_t) {
                     answer.whole = !error && parser.is_done();
                   });
  io_.restart();
  io_.run();
  if (parser.is_header_done()) {
    answer.status = static_cast<int>(parser.get().result_int());
    answer.head = HeadText(parser.get().base());
  }
  answer.body = parser.get().body();
  return answer;
}

}  // namespace zinniastep::testing
