#ifndef LIBZINNIASTEP_TRAFFIC_SERVER_ANSWER_HEAD_H_
#define LIBZINNIASTEP_TRAFFIC_SERVER_ANSWER_HEAD_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "libzinniastep/gateway/server_chooser.h"
#include "libzinniastep/traffic/caller_connection.h"
#include "libzinniastep/traffic/forwarding_headers.h"

namespace zinniastep {

// What the head of a backend server's answer says of the request and of the
// server.
struct ServerAnswerHead {
  // The address belongs to another server, which did not run the request.
  bool is_misdirected = false;
  // The server did not run the request and never will.
  bool is_not_run = false;
  // The request ran and the server failed it.
  bool is_failure = false;
  // The answer is a stream of events.
  bool is_stream = false;
  std::optional<ServerLoad> load;
  // The model's confidence in its answer, from 0 to 100.
  std::optional<std::uint32_t> confidence;
  // A load was stated and could not be read.
  bool has_odd_load = false;
};

// Returns whether callers read the status as "not run".
[[nodiscard]] auto PromisesNotRun(unsigned status) -> bool;

// Reads "RUNNING,WAITING,SLOTS" or "RUNNING,WAITING,SLOTS,PACE". Returns
// nothing for any other text.
[[nodiscard]] auto ParseServerLoad(std::string_view text)
    -> std::optional<ServerLoad>;

// Reads a model's confidence in its own answer, a whole number from 0 to 100.
// Returns nothing for any other text.
[[nodiscard]] auto ParseConfidence(std::string_view text)
    -> std::optional<std::uint32_t>;

[[nodiscard]] auto ReadServerAnswerHead(const AnswerHead& head,
                                        const ForwardingHeaders& names)
    -> ServerAnswerHead;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_TRAFFIC_SERVER_ANSWER_HEAD_H_
