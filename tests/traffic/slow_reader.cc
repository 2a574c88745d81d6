#include "tests/traffic/slow_reader.h"

#include <array>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>

namespace zinniastep::testing {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr int kReceiveBytes = 4096;

}  // namespace

SlowReader::SlowReader() : acceptor_(io_) {
  const Tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), 0);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(asio::socket_base::receive_buffer_size(kReceiveBytes));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  acceptor_.non_blocking(true);
}

auto SlowReader::address() const -> std::string {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

auto SlowReader::connections() -> std::size_t {
  boost::system::error_code error;
  Tcp::socket socket(io_);
  acceptor_.accept(socket, error);
  if (!error) {
    socket.non_blocking(true);
    accepted_.push_back(std::move(socket));
  }
  return accepted_.size();
}

auto SlowReader::IsReset() -> bool {
  std::array<char, 65536> bytes{};
  for (Tcp::socket& socket : accepted_) {
    boost::system::error_code error;
    while (!error) {
      socket.read_some(asio::buffer(bytes), error);
    }
    if (error == asio::error::connection_reset) {
      return true;
    }
  }
  return false;
}

}  // namespace zinniastep::testing
