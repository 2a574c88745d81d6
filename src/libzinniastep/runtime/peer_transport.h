#ifndef LIBZINNIASTEP_RUNTIME_PEER_TRANSPORT_H_
#define LIBZINNIASTEP_RUNTIME_PEER_TRANSPORT_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace zinniastep {

// Counts of a transport since its start.
struct TransportCounts {
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_messages = 0;
  std::uint64_t received_bytes = 0;
  // Connections to peers that did not open, or broke.
  std::uint64_t lost_connections = 0;
};

// Carries encoded messages between the system's processes: short ones as UDP
// datagrams, long ones over TCP, both on one port. Messages may be lost,
// doubled or reordered.
class PeerTransport {
 public:
  // Receives the bytes of one message on the transport's thread.
  using Receiver = std::function<void(std::string_view bytes)>;

  // Listens on a numeric "address:port"; port 0 takes a free one.
  static auto Listen(std::string_view address, Receiver receiver)
      -> absl::StatusOr<std::unique_ptr<PeerTransport>>;

  PeerTransport(const PeerTransport&) = delete;
  auto operator=(const PeerTransport&) -> PeerTransport& = delete;
  ~PeerTransport();

  // Sends the bytes of one message; may be called from any thread. Errors are
  // not reported, since no message is certain to arrive.
  auto Send(std::string_view address, std::string bytes) -> void;

  // Returns the numeric "address:port" in use.
  [[nodiscard]] auto address() const -> const std::string&;

  [[nodiscard]] auto counts() const -> TransportCounts;

 private:
  class Impl;

  explicit PeerTransport(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_PEER_TRANSPORT_H_
