#ifndef LIBZINNIASTEP_RUNTIME_EVENT_STREAM_H_
#define LIBZINNIASTEP_RUNTIME_EVENT_STREAM_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "libzinniastep/core/call.h"

namespace zinniastep {

// Reads the token counts and the confidence of a chat answer's "usage" member,
// when the JSON has one; leaves `usage` alone otherwise.
auto ReadUsage(std::string_view json, AttemptUsage& usage) -> void;

// Splits an engine's server-sent events as they come. All whole events but the
// end marker are handed on at once; the end marker is kept back, and the usage
// in the last events is read.
class EventStream {
 public:
  // Takes the next bytes and returns those that may go to the caller now.
  [[nodiscard]] auto Feed(std::string_view data) -> std::string;

  // Returns whether the end marker has come.
  [[nodiscard]] auto ended() const -> bool { return ended_; }

  // Returns whether an event grew over the longest that is taken.
  [[nodiscard]] auto overflowed() const -> bool { return overflowed_; }

  [[nodiscard]] auto usage() const -> const AttemptUsage& { return usage_; }

  // The end marker as it goes to the caller.
  static constexpr std::string_view kEndMarker = "data: [DONE]\n\n";

 private:
  auto Take(std::string_view event) -> bool;

  std::string pending_;
  AttemptUsage usage_;
  bool ended_ = false;
  bool overflowed_ = false;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_EVENT_STREAM_H_
