#ifndef LIBZINNIASTEP_GATEWAY_ANSWER_CLOCK_H_
#define LIBZINNIASTEP_GATEWAY_ANSWER_CLOCK_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/version_evidence.h"

namespace zinniastep {

// How a send ended whose answer has not begun.
enum class UnansweredEnd : std::uint8_t {
  // It was given up at a server that answered others meanwhile.
  kTooSlow,
  // It says nothing of the speed of the server's version, e.g. since the server
  // refused it or was not reached.
  kNoEvidence,
};

// Counts how long sends wait for the beginning of their answer. A send counts
// once it has waited for a delay step, although its answer may come much later
// or never; judging answers only would leave out the slowest ones.
class AnswerClock {
 public:
  using SendId = std::uint64_t;

  // Adds to `evidence`, which must outlive the clock.
  explicit AnswerClock(VersionEvidence& evidence);

  // Begins a send whose answer is expected to begin after `expected`.
  auto Begin(Instant now, VersionKey key, Duration expected) -> SendId;

  // Ends a send whose answer has begun. Unknown sends are ignored.
  auto OnAnswer(Instant now, SendId id) -> void;

  // Ends a send whose answer has not begun. Other sends are ignored.
  auto OnEnd(Instant now, SendId id, UnansweredEnd end) -> void;

  // Counts the delay steps that open sends have passed.
  auto Advance(Instant now) -> void;

  [[nodiscard]] auto open() const -> std::size_t { return sends_.size(); }

 private:
  struct Send {
    VersionKey key;
    Instant began;
    Duration expected{0};
    // First delay step that it has not passed.
    std::size_t step = 0;
  };

  auto CountPassed(Instant now, Send& send) -> void;
  // Takes back what the send counts as one under way.
  auto Withdraw(const Send& send) -> void;

  VersionEvidence& evidence_;
  std::map<SendId, Send> sends_;
  SendId next_ = 1;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_ANSWER_CLOCK_H_
