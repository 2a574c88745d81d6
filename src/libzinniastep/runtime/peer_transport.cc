#include "libzinniastep/runtime/peer_transport.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstring>
#include <deque>
#include <map>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio.hpp>

#include "libzinniastep/runtime/socket_options.h"
#include "libzinniastep/wire/codec.h"

namespace zinniastep {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

// Longest message that goes as a datagram, in bytes: it fits an Ethernet frame.
constexpr std::size_t kLongestDatagram = 1400;
// Bytes that wait for one peer's TCP connection; more are dropped, since what
// peers tell each other is told again.
constexpr std::size_t kMostQueuedBytes = 2 * kLongestMessage;
// A peer that is reachable accepts within a round trip. One behind a cut is
// asked anew with the next message, instead of when the system's pauses end.
constexpr auto kConnectTimeout = std::chrono::milliseconds(1000);
// Bytes that stay unacknowledged for this long, in milliseconds, are lost.
constexpr int kUnacknowledgedMs = 1500;
// Probes after which a silent peer's connection is closed.
constexpr int kProbes = 5;
constexpr std::size_t kMostConnections = 256;
constexpr std::size_t kLengthBytes = 4;
// Bytes of a message that are waited for at a time.
constexpr std::size_t kReadSize = std::size_t{64} << 10U;

using LengthPrefix = std::array<unsigned char, kLengthBytes>;

auto EncodeLength(std::size_t length) -> LengthPrefix {
  LengthPrefix prefix{};
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    prefix[i] = static_cast<unsigned char>(length >> (8 * i));
  }
  return prefix;
}

auto DecodeLength(const LengthPrefix& prefix) -> std::size_t {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length |= static_cast<std::size_t>(prefix[i]) << (8 * i);
  }
  return length;
}

struct HostPort {
  asio::ip::address address;
  std::uint16_t port = 0;
};

auto ParseAddress(std::string_view text) -> absl::StatusOr<HostPort> {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return absl::InvalidArgumentError("address without a port");
  }
  boost::system::error_code error;
  HostPort parsed;
  parsed.address =
      asio::ip::make_address(std::string(text.substr(0, colon)), error);
  if (error) {
    return absl::InvalidArgumentError("not a numeric address");
  }
  int port = 0;
  for (const char digit : text.substr(colon + 1)) {
    if (digit < '0' || digit > '9' || port > 65535) {
      return absl::InvalidArgumentError("not a port");
    }
    port = port * 10 + (digit - '0');
  }
  if (port > 65535) {
    return absl::InvalidArgumentError("not a port");
  }
  parsed.port = static_cast<std::uint16_t>(port);
  return parsed;
}

// Reads messages from one accepted connection until it closes.
class Incoming : public std::enable_shared_from_this<Incoming> {
 public:
  Incoming(tcp::socket socket, PeerTransport::Receiver& receiver)
      : socket_(std::move(socket)), receiver_(receiver) {}

  auto ReadNext() -> void {
    asio::async_read(
        socket_, asio::buffer(prefix_),
        [self = shared_from_this()](const auto& error, std::size_t) {
          if (!error) {
            self->ReadBody();
          }
        });
  }

 private:
  auto ReadBody() -> void {
    length_ = DecodeLength(prefix_);
    if (length_ > kLongestMessage) {
      return;
    }
    body_.clear();
    ReadPart();
  }

  // Grows the body as its bytes come: a length alone reserves nothing.
  auto ReadPart() -> void {
    const std::size_t before = body_.size();
    body_.resize(std::min(length_, before + kReadSize));
    asio::async_read(
        socket_, asio::buffer(body_.data() + before, body_.size() - before),
        [self = shared_from_this()](const auto& error, std::size_t) {
          if (error) {
            return;
          }
          if (self->body_.size() < self->length_) {
            self->ReadPart();
            return;
          }
          self->receiver_(self->body_);
          self->ReadNext();
        });
  }

  tcp::socket socket_;
  PeerTransport::Receiver& receiver_;
  LengthPrefix prefix_{};
  std::size_t length_ = 0;
  std::string body_;
};

// Writes messages to one peer over a connection of its own.
class Outgoing : public std::enable_shared_from_this<Outgoing> {
 public:
  // Counts itself in `lost` when it does not open, or breaks.
  Outgoing(asio::io_context& context,
           tcp::endpoint endpoint,
           std::atomic<std::uint64_t>& lost)
      : socket_(context),
        timer_(context),
        endpoint_(std::move(endpoint)),
        lost_(lost) {}

  auto Connect() -> void {
    timer_.expires_after(kConnectTimeout);
    timer_.async_wait([self = shared_from_this()](const auto& error) {
      if (!error && !self->connected_) {
        self->Break();
      }
    });
    socket_.async_connect(
        endpoint_, [self = shared_from_this()](const auto& error) {
          self->timer_.cancel();
          if (error) {
            self->Break();
            return;
          }
          boost::system::error_code ignored;
          self->socket_.set_option(tcp::no_delay(true), ignored);
          LimitUnacknowledged(self->socket_.native_handle(), kUnacknowledgedMs);
          self->connected_ = true;
          self->WriteNext();
        });
  }

  auto Push(std::string bytes) -> void {
    if (queued_bytes_ + bytes.size() > kMostQueuedBytes) {
      return;
    }
    queued_bytes_ += bytes.size();
    queue_.push_back(std::move(bytes));
    if (connected_ && queue_.size() == 1) {
      WriteNext();
    }
  }

  [[nodiscard]] auto broken() const -> bool { return broken_; }

 private:
  auto WriteNext() -> void {
    if (queue_.empty()) {
      return;
    }
    prefix_ = EncodeLength(queue_.front().size());
    const std::array<asio::const_buffer, 2> buffers = {
        asio::buffer(prefix_), asio::buffer(queue_.front())};
    asio::async_write(
        socket_, buffers,
        [self = shared_from_this()](const auto& error, std::size_t) {
          if (error) {
            self->Break();
            return;
          }
          self->queued_bytes_ -= self->queue_.front().size();
          self->queue_.pop_front();
          self->WriteNext();
        });
  }

  auto Break() -> void {
    lost_ += broken_ ? 0 : 1;
    broken_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  tcp::endpoint endpoint_;
  std::atomic<std::uint64_t>& lost_;
  std::deque<std::string> queue_;
  std::size_t queued_bytes_ = 0;
  LengthPrefix prefix_{};
  bool connected_ = false;
  bool broken_ = false;
};

}  // namespace

class PeerTransport::Impl {
 public:
  explicit Impl(Receiver receiver)
      : receiver_(std::move(receiver)), acceptor_(context_), udp_(context_) {}

  Impl(const Impl&) = delete;
  auto operator=(const Impl&) -> Impl& = delete;

  ~Impl() {
    context_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  auto Listen(const HostPort& at) -> absl::Status {
    boost::system::error_code error;
    const tcp::endpoint tcp_endpoint(at.address, at.port);
    acceptor_.open(tcp_endpoint.protocol(), error);
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    acceptor_.bind(tcp_endpoint, error);
    if (!error) {
      acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      return absl::UnavailableError("TCP: " + error.message());
    }
    const std::uint16_t port = acceptor_.local_endpoint().port();
    udp_.open(udp::endpoint(at.address, port).protocol(), error);
    udp_.bind(udp::endpoint(at.address, port), error);
    if (error) {
      return absl::UnavailableError("UDP: " + error.message());
    }
    address_ = at.address.to_string() + ":" + std::to_string(port);
    return absl::OkStatus();
  }

  auto Start() -> void {
    Accept();
    Receive();
    thread_ = std::thread([this] { context_.run(); });
  }

  auto Send(std::string_view address, std::string bytes) -> void {
    const auto to = ParseAddress(address);
    if (!to.ok()) {
      return;
    }
    ++sent_messages_;
    sent_bytes_ += bytes.size();
    if (bytes.size() <= kLongestDatagram) {
      boost::system::error_code ignored;
      const std::lock_guard lock(udp_mutex_);
      udp_.send_to(asio::buffer(bytes), udp::endpoint(to->address, to->port), 0,
                   ignored);
      return;
    }
    asio::post(context_, [this, to = *to, bytes = std::move(bytes)]() mutable {
      SendLong(to, std::move(bytes));
    });
  }

  [[nodiscard]] auto address() const -> const std::string& { return address_; }

  [[nodiscard]] auto counts() const -> TransportCounts {
    return {sent_messages_, sent_bytes_, received_messages_, received_bytes_,
            lost_connections_};
  }

 private:
  auto Deliver(std::string_view bytes) -> void {
    ++received_messages_;
    received_bytes_ += bytes.size();
    receiver_(bytes);
  }

  auto Accept() -> void {
    acceptor_.async_accept([this](const auto& error, tcp::socket socket) {
      if (!error) {
        ProbeSilentPeer(socket.native_handle(), kProbes);
        std::make_shared<Incoming>(std::move(socket), counting_receiver_)
            ->ReadNext();
      }
      if (acceptor_.is_open()) {
        Accept();
      }
    });
  }

  auto Receive() -> void {
    udp_.async_receive_from(asio::buffer(datagram_), from_,
                            [this](const auto& error, std::size_t length) {
                              if (!error) {
                                Deliver({datagram_.data(), length});
                              }
                              Receive();
                            });
  }

  auto SendLong(const HostPort& to, std::string bytes) -> void {
    const tcp::endpoint endpoint(to.address, to.port);
    auto found = outgoing_.find(endpoint);
    if (found != outgoing_.end() && found->second->broken()) {
      outgoing_.erase(found);
      found = outgoing_.end();
    }
    if (found == outgoing_.end()) {
      if (outgoing_.size() >= kMostConnections) {
        outgoing_.erase(outgoing_.begin());
      }
      auto connection =
          std::make_shared<Outgoing>(context_, endpoint, lost_connections_);
      connection->Connect();
      found = outgoing_.emplace(endpoint, std::move(connection)).first;
    }
    found->second->Push(std::move(bytes));
  }

  Receiver receiver_;
  Receiver counting_receiver_ = [this](std::string_view bytes) {
    Deliver(bytes);
  };
  asio::io_context context_;
  tcp::acceptor acceptor_;
  udp::socket udp_;
  std::mutex udp_mutex_;
  udp::endpoint from_;
  std::array<char, 65536> datagram_{};
  std::map<tcp::endpoint, std::shared_ptr<Outgoing>> outgoing_;
  std::string address_;
  std::atomic<std::uint64_t> sent_messages_ = 0;
  std::atomic<std::uint64_t> sent_bytes_ = 0;
  std::atomic<std::uint64_t> received_messages_ = 0;
  std::atomic<std::uint64_t> received_bytes_ = 0;
  std::atomic<std::uint64_t> lost_connections_ = 0;
  std::thread thread_;
};

auto PeerTransport::Listen(std::string_view address, Receiver receiver)
    -> absl::StatusOr<std::unique_ptr<PeerTransport>> {
  const auto at = ParseAddress(address);
  if (!at.ok()) {
    return at.status();
  }
  auto impl = std::make_unique<Impl>(std::move(receiver));
  if (const absl::Status status = impl->Listen(*at); !status.ok()) {
    return status;
  }
  impl->Start();
  return std::unique_ptr<PeerTransport>(new PeerTransport(std::move(impl)));
}

PeerTransport::PeerTransport(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

PeerTransport::~PeerTransport() = default;

auto PeerTransport::Send(std::string_view address, std::string bytes) -> void {
  impl_->Send(address, std::move(bytes));
}

auto PeerTransport::address() const -> const std::string& {
  return impl_->address();
}

auto PeerTransport::counts() const -> TransportCounts {
  return impl_->counts();
}

}  // namespace zinniastep
