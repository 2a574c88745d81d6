#ifndef LIBZINNIASTEP_RUNTIME_CHAT_REQUEST_H_
#define LIBZINNIASTEP_RUNTIME_CHAT_REQUEST_H_

#include <string_view>

#include <absl/status/statusor.h>

#include "libzinniastep/core/call.h"

namespace zinniastep {

// Returns what the router needs of a chat-completions request, or
// InvalidArgument that says what is wrong with the body. Prompt tokens are
// estimated from the length of the messages.
[[nodiscard]] auto ReadChatRequest(std::string_view body)
    -> absl::StatusOr<ChatCall>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_CHAT_REQUEST_H_
