#ifndef LIBZINNIASTEP_RUNTIME_ATTEMPT_RUNNER_H_
#define LIBZINNIASTEP_RUNTIME_ATTEMPT_RUNNER_H_

#include <functional>
#include <map>
#include <mutex>

#include "libzinniastep/core/action.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/runtime/call_table.h"
#include "libzinniastep/runtime/http_loop.h"
#include "libzinniastep/runtime/metrics.h"

namespace zinniastep {

// Carries attempts to backend servers and answers back to callers. Bytes of
// streamed answers go from the loop's thread straight to the caller.
class AttemptRunner {
 public:
  using EventSink = std::function<void(Event)>;

  AttemptRunner(CallTable& calls,
                HttpLoop& loop,
                Metrics& metrics,
                EventSink events);

  // Begins an attempt. AttemptEnded follows exactly once.
  auto Start(const StartAttempt& action) -> void;

  // Stops an attempt; its AttemptEnded still follows.
  auto Cancel(const CancelAttempt& action) -> void;

  // Sends what is still held of a call's answer, and forgets the call.
  auto Complete(const CompleteCall& action) -> void;

  // Tells the caller that its call failed, and forgets the call.
  auto Refuse(const RefuseCall& action) -> void;

 private:
  auto RequestFor(const StartAttempt& action, const OpenCall& call) const
      -> HttpRequest;

  CallTable& calls_;
  HttpLoop& loop_;
  Metrics& metrics_;
  EventSink events_;
  std::mutex mutex_;
  std::map<AttemptId, ExchangeId> exchanges_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_ATTEMPT_RUNNER_H_
