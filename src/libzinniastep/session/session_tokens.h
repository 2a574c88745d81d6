#ifndef LIBZINNIASTEP_SESSION_SESSION_TOKENS_H_
#define LIBZINNIASTEP_SESSION_SESSION_TOKENS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libzinniastep/session/session_pins.h"

namespace zinniastep {

// Longest session name that a token carries, in bytes.
inline constexpr std::size_t kLongestSessionName = 256;
// Longest text that is looked at as a token, in bytes.
inline constexpr std::size_t kLongestSessionToken = 4096;

// Turns a session's pins into a signed token that the caller keeps, and back,
// so that any host can keep a session on its versions without storing it.
// Holds only keys and may be used by several threads.
class SessionTokens {
 public:
  // The first key signs; all are accepted, so that keys can rotate.
  explicit SessionTokens(std::vector<std::string> keys);

  // Returns the token; empty when the session has no name or one that is too
  // long.
  [[nodiscard]] auto Sign(const SessionPins& pins) const -> std::string;

  // Returns the pins of a token that one of the keys signed for this session;
  // an empty session takes the token's own. Nothing for any other text.
  [[nodiscard]] auto Verify(std::string_view token,
                            const SessionId& session) const
      -> std::optional<SessionPins>;

 private:
  [[nodiscard]] auto SignedWithOneOf(std::string_view payload,
                                     std::string_view signature) const -> bool;

  std::vector<std::string> keys_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_SESSION_SESSION_TOKENS_H_
