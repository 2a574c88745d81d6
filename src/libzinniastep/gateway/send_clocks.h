#ifndef LIBZINNIASTEP_GATEWAY_SEND_CLOCKS_H_
#define LIBZINNIASTEP_GATEWAY_SEND_CLOCKS_H_

#include <cstdint>
#include <optional>

#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/answer_clock.h"
#include "libzinniastep/gateway/response_times.h"
#include "libzinniastep/gateway/version_evidence.h"

namespace zinniastep {

// Measures one send of a request: the delay until its answer begins, and the
// pace of the first events of a stream.
class SendClocks {
 public:
  // `clock` must outlive this object.
  explicit SendClocks(AnswerClock& clock);

  // Begins a send whose answer is expected to begin after `expected`.
  auto Begin(Instant now, const VersionKey& key, Duration expected) -> void;

  // The answer has begun without a failure.
  auto OnHead(Instant now) -> void;

  // A whole event has come.
  auto OnEvent(Instant now) -> void;

  // Ends the measurements that still wait.
  auto End(Instant now, UnansweredEnd end) -> void;

  // Returns, once in a send, the times of its first events, without a model:
  // when enough events have come or, with `is_over`, those that came.
  auto TakeTimes(bool is_over) -> std::optional<ResponseTimes>;

  // Events of this send.
  [[nodiscard]] auto events() const -> std::uint64_t { return events_; }

 private:
  AnswerClock& clock_;
  VersionKey key_;
  AnswerClock::SendId delay_ = 0;
  AnswerClock::SendId pace_ = 0;
  std::uint64_t events_ = 0;
  Instant began_;
  Instant first_event_at_;
  ResponseTimes times_;
  bool times_taken_ = false;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_SEND_CLOCKS_H_
