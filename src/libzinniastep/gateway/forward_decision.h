#ifndef LIBZINNIASTEP_GATEWAY_FORWARD_DECISION_H_
#define LIBZINNIASTEP_GATEWAY_FORWARD_DECISION_H_

#include <cstdint>
#include <string_view>
#include <variant>

#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/traffic_policy.h"

namespace zinniastep {

// How one send to a backend server ended.
enum class SendOutcome : std::uint8_t {
  // No byte left this host.
  kNotSent,
  // The server said that it did not run the request.
  kDeclined,
  // The address belongs to another server now; the request was not run.
  kMisdirected,
  // Bytes left and no whole answer came.
  kBroken,
  // The server answered with a failure of its own.
  kServerFailure,
  // The server answered whole and well.
  kAnswered,
  // The server was silent for longer than this host waits.
  kSilent,
};

[[nodiscard]] auto ToString(SendOutcome outcome) -> std::string_view;

// What has become of a request so far.
struct ForwardProgress {
  RepeatRule repeat_rule = RepeatRule::kAtMostOnce;
  // The stream may go on at another server.
  bool resumable = false;
  std::uint32_t most_servers = 1;
  // Servers to which bytes of the request went and that did not say that the
  // address is not theirs.
  std::uint32_t servers_used = 0;
  // Sends that ended before a byte left, or at another server's address.
  std::uint32_t futile_sends = 0;
  // A server may have begun to work on it.
  bool may_have_run = false;
  // The caller has a part of the answer.
  bool caller_has_bytes = false;
  // Callers wait until then.
  Instant deadline;
};

// Send it to another server.
struct TryAnother {};
// Hand the server's own failure to the caller.
struct PassServerFailure {};
// Tell the caller that it has not run and never will.
struct RefuseNotRun {};
// Tell the caller that nothing is known of what became of it.
struct ReportUnknown {
  // The time is over, as opposed to a failure on the way.
  bool timed_out = false;
};
// Break the answer off, since a part of it is with the caller.
struct BreakOff {};

using NextStep = std::variant<TryAnother,
                              PassServerFailure,
                              RefuseNotRun,
                              ReportUnknown,
                              BreakOff>;

// Sends that reached nobody before a request is given up.
inline constexpr std::uint32_t kMostFutileSends = 4;
// With less time left than this another server cannot answer in time.
inline constexpr Duration kLeastTimeForAnother = std::chrono::milliseconds(20);

// Says what to do after a send that did not bring the whole answer. The
// progress already counts that send. `may_repeat` says whether the budget of
// repeats allows another arrival.
[[nodiscard]] auto DecideNext(Instant now,
                              const ForwardProgress& progress,
                              SendOutcome outcome,
                              bool may_repeat) -> NextStep;

// Returns how long a server with open requests of this host may send nothing
// to any of them before a stream goes on elsewhere. A server that runs many
// requests is silent for a while before an answer begins, and asking another
// one only adds to the load; one that is lost is found by its connections.
// `prompt_tokens` are those of the waiting request.
[[nodiscard]] auto LongestSilence(const ForwardingRoute& route,
                                  bool answer_begun,
                                  double prompt_tokens) -> Duration;

// Returns how long a stream whose server sends bytes may bring no whole event
// before it goes on elsewhere.
[[nodiscard]] auto LongestStall(const ForwardingRoute& route,
                                double prompt_tokens) -> Duration;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_FORWARD_DECISION_H_
