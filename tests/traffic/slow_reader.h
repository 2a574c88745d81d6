#ifndef TESTS_TRAFFIC_SLOW_READER_H_
#define TESTS_TRAFFIC_SLOW_READER_H_

#include <cstddef>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace zinniastep::testing {

// A backend server that accepts connections and reads nothing until it is
// asked to, as one behind a cut does. Used on the test's thread.
class SlowReader {
 public:
  SlowReader();

  [[nodiscard]] auto address() const -> std::string;

  // Accepts what waits and returns the number of connections so far.
  auto connections() -> std::size_t;

  // Reads all that has come. Returns whether a connection was reset, so that
  // what its sender had not sent by then never comes.
  auto IsReset() -> bool;

 private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<boost::asio::ip::tcp::socket> accepted_;
};

}  // namespace zinniastep::testing

#endif  // TESTS_TRAFFIC_SLOW_READER_H_
