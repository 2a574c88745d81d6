#include "libzinniastep/runtime/socket_options.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cstddef>

namespace zinniastep {

namespace {

constexpr int kProbeSeconds = 1;

template <class Value>
auto SetOption(int socket, int level, int name, const Value& value) -> void {
  (void)setsockopt(socket, level, name, &value, sizeof value);
}

}  // namespace

auto ProbeSilentPeer(int socket, int probes) -> void {
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kProbeSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, probes);
}

auto StopProbes(int socket) -> void {
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 0);
}

auto LimitUnacknowledged(int socket, int milliseconds) -> void {
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, milliseconds);
}

auto DropUnsentOnClose(int socket) -> void {
  SetOption(socket, SOL_SOCKET, SO_LINGER, linger{1, 0});
}

auto UnacknowledgedBytes(int socket) -> std::optional<std::size_t> {
  int bytes = 0;
  if (ioctl(socket, SIOCOUTQ, &bytes) != 0 || bytes < 0) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(bytes);
}

auto RoomOfPeer(int socket) -> PeerRoom {
  int unsent = 0;
  tcp_info info{};
  socklen_t size = sizeof info;
  const auto unacknowledged = UnacknowledgedBytes(socket);
  if (!unacknowledged.has_value() || ioctl(socket, SIOCOUTQNSD, &unsent) != 0 ||
      getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      size < offsetof(tcp_info, tcpi_backoff)) {
    return PeerRoom::kUnknown;
  }
  if (unsent <= 0 || static_cast<std::size_t>(unsent) != *unacknowledged) {
    return PeerRoom::kSome;
  }
  return info.tcpi_probes == 0 ? PeerRoom::kNone : PeerRoom::kNoneOrCutOff;
}

}  // namespace zinniastep
