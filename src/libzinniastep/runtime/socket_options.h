#ifndef LIBZINNIASTEP_RUNTIME_SOCKET_OPTIONS_H_
#define LIBZINNIASTEP_RUNTIME_SOCKET_OPTIONS_H_

#include <cstddef>
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
// milliseconds.
auto LimitUnacknowledged(int socket, int milliseconds) -> void;

// Makes closing drop what is still unsent. Otherwise the system goes on sending
// it, seconds later when the network held it back.
auto DropUnsentOnClose(int socket) -> void;

// Returns how many bytes that were written the peer has not acknowledged, or
// nothing when the system does not tell.
[[nodiscard]] auto UnacknowledgedBytes(int socket)
    -> std::optional<std::size_t>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_SOCKET_OPTIONS_H_
