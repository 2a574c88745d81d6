#include "libzinniastep/traffic/server_probe.h"

#include <memory>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "libzinniastep/traffic/socket_address.h"

namespace zinniastep {

namespace {

struct Probe {
  explicit Probe(boost::asio::io_context& io) : socket(io), timer(io) {}

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
};

auto ResultOf(const boost::system::error_code& error) -> ProbeResult {
  if (!error) {
    return ProbeResult::kAccepted;
  }
  return error == boost::asio::error::connection_refused
             ? ProbeResult::kRefused
             : ProbeResult::kNoAnswer;
}

}  // namespace

auto ProbeServer(boost::asio::io_context& io,
                 std::string_view address,
                 Duration timeout,
                 std::function<void(ProbeResult)> on_result) -> void {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint.ok()) {
    boost::asio::post(io, [on_result = std::move(on_result)] {
      on_result(ProbeResult::kNoAnswer);
    });
    return;
  }
  auto probe = std::make_shared<Probe>(io);
  probe->timer.expires_after(timeout);
  probe->timer.async_wait([probe](boost::system::error_code error) {
    if (!error) {
      boost::system::error_code ignored;
      probe->socket.close(ignored);
    }
  });
  probe->socket.async_connect(*endpoint,
                              [probe, on_result = std::move(on_result)](
                                  const boost::system::error_code& error) {
                                probe->timer.cancel();
                                boost::system::error_code ignored;
                                probe->socket.close(ignored);
                                on_result(ResultOf(error));
                              });
}

}  // namespace zinniastep
