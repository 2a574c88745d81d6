#ifndef LIBZINNIASTEP_RUNTIME_SOCKET_OPTIONS_H_
#define LIBZINNIASTEP_RUNTIME_SOCKET_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <optional>

namespace zinniastep {

// Options of TCP sockets, by their descriptors. One that the system refuses is
// left as it is: without it a lost peer is only found later.

// Probes a silent connection once a second, and ends it after this many probes
// without an answer. A peer that has reset the connection answers the first one
// that reaches it.
auto ProbeSilentPeer(int socket, int probes) -> void;

// Stops probing. A connection that probes end is not reset, so the network may
// still deliver bytes that it holds back.
auto StopProbes(int socket) -> void;

// Ends the connection when bytes stay unacknowledged for this long, in
// milliseconds; zero sets no limit. The system also counts the time for which a
// peer that acknowledges has no room for more.
auto LimitUnacknowledged(int socket, int milliseconds) -> void;

// Makes closing drop what is still unsent. Otherwise the system goes on sending
// it, seconds later when the network held it back.
auto DropUnsentOnClose(int socket) -> void;

// Returns how many bytes that were written the peer has not acknowledged, or
// nothing when the system does not tell.
[[nodiscard]] auto UnacknowledgedBytes(int socket)
    -> std::optional<std::size_t>;

// Whether a peer has room for more of the bytes that were written.
enum class PeerRoom : std::uint8_t {
  // The system does not tell.
  kUnknown,
  // There is room, or bytes are on their way.
  kSome,
  // The peer has acknowledged all that reached it, and its window is closed.
  kNone,
  // The same, but a probe of the window is unanswered. Linux answers one every
  // 500 ms at most, so that this lasts for up to a second at a sound peer.
  kNoneOrCutOff,
};

[[nodiscard]] auto RoomOfPeer(int socket) -> PeerRoom;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_SOCKET_OPTIONS_H_
