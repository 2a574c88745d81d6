#include "libzinniastep/runtime/peer_transport.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include "tests/process/child_process.h"

namespace zinniastep {
namespace {

// Collects messages until the expected number has come.
class Collector {
 public:
  auto Add(std::string_view bytes) -> void {
    const std::lock_guard lock(mutex_);
    messages_.insert(std::string(bytes));
    changed_.notify_all();
  }

  auto WaitFor(std::size_t count) -> std::multiset<std::string> {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return messages_.size() >= count; });
    return messages_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::multiset<std::string> messages_;
};

TEST(PeerTransportTest, CarriesShortAndLongMessagesWhole) {
  Collector collector;
  auto receiver = PeerTransport::Listen(
      "127.0.0.1:0", [&](std::string_view bytes) { collector.Add(bytes); });
  ASSERT_TRUE(receiver.ok());
  auto sender = PeerTransport::Listen("127.0.0.1:0", [](std::string_view) {});
  ASSERT_TRUE(sender.ok());
  const std::multiset<std::string> sent = {"short", std::string(50000, 'a'),
                                           std::string(1500000, 'b')};
  for (const std::string& message : sent) {
    (*sender)->Send((*receiver)->address(), message);
  }
  EXPECT_EQ(collector.WaitFor(sent.size()), sent);
}

// A peer whose queue of new connections is full drops opening packets, as a cut
// does. The system alone would wait for minutes, with pauses that double.
TEST(PeerTransportTest, GivesUpAConnectionThatDoesNotOpenAndMakesAnother) {
  namespace asio = boost::asio;
  using asio::ip::tcp;
  asio::io_context io;
  tcp::acceptor acceptor(io);
  const tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
  acceptor.open(any.protocol());
  acceptor.bind(any);
  acceptor.listen(0);
  const tcp::endpoint full = acceptor.local_endpoint();
  std::vector<tcp::socket> waiting;
  for (int i = 0; i < 3; ++i) {
    waiting.emplace_back(io);
    waiting.back().open(any.protocol());
    waiting.back().native_non_blocking(true);
    // The library's own call would wait for the connection.
    (void)::connect(waiting.back().native_handle(), full.data(), full.size());
  }
  auto sender = PeerTransport::Listen("127.0.0.1:0", [](std::string_view) {});
  ASSERT_TRUE(sender.ok());
  const std::string address = "127.0.0.1:" + std::to_string(full.port());
  const std::string message(50000, 'm');
  (*sender)->Send(address, message);
  ASSERT_TRUE(testing::Eventually(
      [&sender] { return (*sender)->counts().lost_connections == 1; }));
  waiting.clear();
  acceptor.non_blocking(true);
  std::vector<tcp::socket> accepted;
  const auto message_came = [&] {
    boost::system::error_code error;
    tcp::socket socket(io);
    acceptor.accept(socket, error);
    if (!error) {
      accepted.push_back(std::move(socket));
    }
    (*sender)->Send(address, message);
    return std::ranges::any_of(accepted, [&message](tcp::socket& one) {
      return one.available() >= message.size();
    });
  };
  EXPECT_TRUE(testing::Eventually(message_came));
}

// Resident memory of this process in bytes.
auto ResidentBytes() -> std::size_t {
  std::ifstream statm("/proc/self/statm");
  std::size_t pages = 0;
  statm >> pages >> pages;
  return pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

TEST(PeerTransportTest, ALengthWithoutAMessageReservesNothing) {
  constexpr std::size_t kPeers = 64;
  Collector collector;
  auto receiver = PeerTransport::Listen(
      "127.0.0.1:0", [&](std::string_view bytes) { collector.Add(bytes); });
  ASSERT_TRUE(receiver.ok());
  const std::string address = (*receiver)->address();
  const auto port = static_cast<std::uint16_t>(
      std::stoi(address.substr(address.find(':') + 1)));
  boost::asio::io_context io;
  const std::size_t before = ResidentBytes();
  using boost::asio::ip::tcp;
  std::vector<tcp::socket> peers;
  // Lengths are in little-endian order.
  const std::string whole("\x01\x00\x00\x00w", 5);
  const std::string begun("\x00\x00\x20\x00z", 5);
  const auto send = [&](const std::string& bytes) {
    peers.emplace_back(io);
    peers.back().connect({boost::asio::ip::make_address("127.0.0.1"), port});
    boost::asio::write(peers.back(), boost::asio::buffer(bytes));
  };
  for (std::size_t peer = 0; peer < kPeers; ++peer) {
    send(whole + begun);
  }
  // What follows each whole message is read before the next connection's.
  collector.WaitFor(kPeers);
  send(whole);
  collector.WaitFor(kPeers + 1);
  EXPECT_LT(ResidentBytes(), before + (std::size_t{32} << 20U));
}

TEST(PeerTransportTest, ReportsAddressesThatCannotBeBound) {
  EXPECT_FALSE(
      PeerTransport::Listen("127.0.0.1", [](std::string_view) {}).ok());
  EXPECT_FALSE(PeerTransport::Listen("name:1", [](std::string_view) {}).ok());
  auto first = PeerTransport::Listen("127.0.0.1:0", [](std::string_view) {});
  ASSERT_TRUE(first.ok());
  EXPECT_FALSE(
      PeerTransport::Listen((*first)->address(), [](std::string_view) {}).ok());
}

}  // namespace
}  // namespace zinniastep
