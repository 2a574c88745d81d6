#ifndef LIBZINNIASTEP_RUNTIME_ATTEMPT_SINK_H_
#define LIBZINNIASTEP_RUNTIME_ATTEMPT_SINK_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "libzinniastep/core/action.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/runtime/call_table.h"
#include "libzinniastep/runtime/event_stream.h"
#include "libzinniastep/runtime/http_loop.h"

namespace zinniastep {

// Receives one attempt's answer: passes it on to the caller while it comes, or
// keeps it whole, and reports the attempt's events.
class AttemptSink : public HttpSink {
 public:
  using EventSink = std::function<void(Event)>;

  AttemptSink(StartAttempt action,
              std::shared_ptr<const OpenCall> call,
              EventSink events);

  auto OnData(std::uint16_t status, std::string_view data) -> Flow override;
  auto OnDone(HttpResult result) -> void override;

 private:
  // Whether this answer goes to the caller while it comes.
  [[nodiscard]] auto PassesOn(std::uint16_t status) const -> bool;
  auto PassOn(std::string_view data) -> Flow;
  auto BeginAnswer() -> void;
  [[nodiscard]] auto Outcome(const HttpResult& result) const -> AttemptOutcome;
  [[nodiscard]] auto KeptAnswer(const HttpResult& result) -> SharedAnswer;

  StartAttempt action_;
  std::shared_ptr<const OpenCall> call_;
  EventSink events_;
  EventStream stream_;
  std::string kept_;
  bool kept_all_ = true;
  bool has_data_ = false;
  bool caller_has_bytes_ = false;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_ATTEMPT_SINK_H_
