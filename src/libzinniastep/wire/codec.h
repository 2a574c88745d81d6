#ifndef LIBZINNIASTEP_WIRE_CODEC_H_
#define LIBZINNIASTEP_WIRE_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/wire/peer_message.h"

namespace zinniastep {

// The version of the messages between hosts. Hosts drop any other.
inline constexpr std::uint16_t kWireVersion = 3;
// Longest message that a host takes, in bytes.
inline constexpr std::size_t kLongestMessage = 2U << 20U;

// Who sends a message, and the message.
struct Envelope {
  HostId from;
  Incarnation incarnation = 0;
  // Numeric "address:port" that the sender listens on.
  std::string address;
  PeerMessage message;
};

// Encodes messages with a key, and decodes those made with one of the keys.
// Holds no other state and may be used by several threads.
class Codec {
 public:
  // The first key signs; all of them are accepted, so that keys can rotate.
  explicit Codec(std::vector<std::string> keys);

  // Returns the signed bytes of one message.
  [[nodiscard]] auto Encode(const Envelope& envelope) const -> std::string;

  // Returns the message, or an error for bytes that are too long, of another
  // wire version, not signed with one of the keys, or malformed.
  [[nodiscard]] auto Decode(std::string_view bytes) const
      -> absl::StatusOr<Envelope>;

 private:
  std::vector<std::string> keys_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_WIRE_CODEC_H_
