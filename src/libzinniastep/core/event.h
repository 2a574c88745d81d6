#ifndef LIBZINNIASTEP_CORE_EVENT_H_
#define LIBZINNIASTEP_CORE_EVENT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/core/call.h"
#include "libzinniastep/wire/peer_message.h"

namespace zinniastep {

// Time has passed; sent at least every 20 ms.
struct TimePassed {
  // Minutes since 1970 by the host's wall clock, for the report only.
  std::uint64_t minute = 0;
};

// The process was told to shut down gracefully.
struct ShutdownRequested {};

// A caller's request was read whole and is well formed.
struct CallArrived {
  CallId call = 0;
  CallTarget target;
  // SHA-256 of the bearer key, in hexadecimal; empty without one.
  std::string key_digest;
  IdempotencyKey idempotency_key;
  // Hash of the body: the same key with another body is a caller's mistake.
  std::uint64_t body_hash = 0;
  SessionId session;
  // The signed token of an earlier answer in the session, if any.
  std::string session_token;
  Priority priority = Priority::kNormal;
  // How long the caller waits.
  Duration deadline{0};
};

// The caller closed its connection.
struct CallerGone {
  CallId call = 0;
};

// The first byte of an attempt's answer has come.
struct AttemptFirstByte {
  AttemptId attempt;
};

// How an attempt ended.
enum class AttemptOutcome : std::uint8_t {
  // No byte was handed to the socket, so the request has not run.
  kNotSent,
  // A whole answer came.
  kAnswered,
  // Bytes were sent and no whole answer came.
  kBroken,
  // The attempt was cancelled after bytes were sent.
  kCancelled,
};

// An attempt is over; nothing more comes of it.
struct AttemptEnded {
  AttemptId attempt;
  AttemptOutcome outcome = AttemptOutcome::kNotSent;
  std::uint16_t status = 0;
  AttemptUsage usage;
  // The backend server's incarnation that answered; zero when unknown.
  Incarnation server_incarnation = 0;
  // Whether bytes of the answer have gone to the caller.
  bool caller_has_bytes = false;
  // The whole answer, kept for requests with an idempotency key and for
  // answers that are judged before they go out; null otherwise.
  SharedAnswer answer;
};

// Numbers a request to the object API within one process.
using StoreToken = std::uint64_t;

// One object as the object API holds it.
struct StoredObject {
  ObjectPath path;
  ObjectVersion version = 0;
  std::string value;
};

// The objects that a read, list or watch found. An object that does not exist
// is absent from the list.
struct StoreFound {
  // The object API's revision of this answer.
  ObjectVersion revision = 0;
  std::vector<StoredObject> objects;
  // Objects deleted since the watch's start, for watches.
  std::vector<ObjectPath> deleted;
};

// A conditional write or deletion took effect.
struct StoreWritten {
  ObjectVersion version = 0;
};

// A conditional write met another version and had no effect.
struct StoreConflict {
  ObjectVersion current = 0;
};

// No answer came. A write may have taken effect all the same.
struct StoreSilent {};

// The answer to one request to the object API.
struct StoreAnswered {
  StoreToken token = 0;
  std::variant<StoreFound, StoreWritten, StoreConflict, StoreSilent> result;
};

// A message of another process of the system came and was authentic.
struct PeerMessageArrived {
  HostId from;
  Incarnation from_incarnation = 0;
  // Numeric "address:port" that the sender listens on.
  std::string from_address;
  PeerMessage message;
};

// One line of the platform's host list.
struct ListedHost {
  HostId host;
  // Numeric "address:port" for the system's own messages.
  std::string address;
  bool leaving = false;
};

// The platform's host list was read. It lags behind.
struct HostListRead {
  std::vector<ListedHost> hosts;
};

// A backend server's own report of its load, some time old.
struct LoadReport {
  BackendServerId server;
  Incarnation incarnation = 0;
  bool warm = false;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::vector<ModelVersion> versions;
  // Prefix hashes that the server announced as cached since the last report.
  std::vector<std::uint64_t> cached_prefixes;
};

// A backend server answered a poll of its load, or did not.
struct LoadPolled {
  BackendServerId server;
  bool answered = false;
  LoadReport report;
};

// What a backend server said to an order.
enum class OrderOutcome : std::uint8_t { kDone, kRefusedOld, kFailed, kSilent };

// A backend server answered an order.
struct OrderAnswered {
  BackendServerId server;
  std::uint64_t fence = 0;
  ModelVersion version;
  OrderOutcome outcome = OrderOutcome::kSilent;
};

// The rating service rated an answer, in [0, 1].
struct AnswerRated {
  RequestId request;
  double rating = 0.0;
};

// What a drain, hold or other operator's command asks of this host.
struct OperatorDrain {};

using Event = std::variant<TimePassed,
                           ShutdownRequested,
                           CallArrived,
                           CallerGone,
                           AttemptFirstByte,
                           AttemptEnded,
                           StoreAnswered,
                           PeerMessageArrived,
                           HostListRead,
                           LoadPolled,
                           OrderAnswered,
                           AnswerRated,
                           OperatorDrain>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CORE_EVENT_H_
