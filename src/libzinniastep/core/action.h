#ifndef LIBZINNIASTEP_CORE_ACTION_H_
#define LIBZINNIASTEP_CORE_ACTION_H_

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/core/call.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/wire/peer_message.h"

namespace zinniastep {

// Send a message to another process of the system. It may be lost, doubled or
// late. An empty address means "where membership knows the host".
struct SendToPeer {
  HostId to;
  std::string address;
  PeerMessage message;
};

// Read one object, all objects below a prefix, or wait for a change below a
// prefix after a revision. Answered by StoreAnswered with StoreFound.
struct ReadObject {
  StoreToken token = 0;
  ObjectPath path;
};
struct ListObjects {
  StoreToken token = 0;
  ObjectPath prefix;
};
struct WatchObjects {
  StoreToken token = 0;
  ObjectPath prefix;
  ObjectVersion after = 0;
};

// Write an object when its version is the expected one; zero means that it
// must not exist.
struct WriteObject {
  StoreToken token = 0;
  ObjectPath path;
  ObjectVersion expected = 0;
  std::string value;
};

// Delete an object when its version is the expected one.
struct DeleteObject {
  StoreToken token = 0;
  ObjectPath path;
  ObjectVersion expected = 0;
};

// How an attempt's answer reaches the caller.
enum class Delivery : std::uint8_t {
  // Bytes go to the caller as they come, but for the last, which waits for
  // CompleteCall.
  kStream,
  // The answer is kept whole and handed to the core with AttemptEnded.
  kHold,
};

// Send the call's request to a backend server. When the send cannot begin
// within `send_within`, it does not happen and the attempt ends as not sent.
struct StartAttempt {
  AttemptId attempt;
  CallId call = 0;
  BackendServerId server;
  std::string address;
  // The version to run; empty for a plain service.
  ModelVersion version;
  Priority priority = Priority::kNormal;
  Delivery delivery = Delivery::kStream;
  Duration send_within{0};
  // The attempt is cut after this time.
  Duration timeout{0};
  // Whether the request's bytes must never go out twice.
  bool at_most_once = false;
  // Sent to the caller in the head of a streamed answer.
  std::string session_token;
  ClientAccountId account;
  IdempotencyKey idempotency_key;
  SessionId session;
};

// Stop an attempt at the backend server.
struct CancelAttempt {
  AttemptId attempt;
};

// Let the held last byte of a streamed answer go, or send the whole answer.
struct CompleteCall {
  CallId call = 0;
  // Null for a stream whose bytes have gone already.
  SharedAnswer answer;
  // The version that answered and the token that keeps the session on it.
  ModelVersion version;
  std::string session_token;
  RequestId request;
};

// Refuse a call. When bytes have gone to the caller, its stream is cut with an
// error event instead.
struct RefuseCall {
  CallId call = 0;
  Refusal refusal;
  RequestId request;
};

// Ask a backend server for its load; answered by LoadPolled.
struct PollLoad {
  BackendServerId server;
  std::string address;
};

// Order a backend server to load or unload a version; answered by
// OrderAnswered. The order must reach the server within `deliver_within`.
struct SendOrder {
  BackendServerId server;
  std::string address;
  std::uint64_t fence = 0;
  ModelVersion version;
  bool load = true;
  Duration deliver_within{0};
};

// Ask the rating service to rate a request's answer; answered by AnswerRated,
// or never.
struct RequestRating {
  RequestId request;
  CallId call = 0;
  ModelVersion version;
  TaskClassId task_class;
};

// Read the platform's host list; answered by HostListRead, or never.
struct ReadHostList {};

// One key and its value in a log line.
struct LogField {
  std::string key;
  std::string value;
};

// Write one log line: a routing or placement decision, or another event.
struct LogEvent {
  std::string event;
  std::vector<LogField> fields;
};

// All calls are answered and callers have forgotten the address: the process
// may end.
struct ShutdownComplete {};

using Action = std::variant<SendToPeer,
                            ReadObject,
                            ListObjects,
                            WatchObjects,
                            WriteObject,
                            DeleteObject,
                            StartAttempt,
                            CancelAttempt,
                            CompleteCall,
                            RefuseCall,
                            PollLoad,
                            SendOrder,
                            RequestRating,
                            ReadHostList,
                            LogEvent,
                            ShutdownComplete>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CORE_ACTION_H_
