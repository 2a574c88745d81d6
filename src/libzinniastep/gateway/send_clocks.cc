#include "libzinniastep/gateway/send_clocks.h"

namespace zinniastep {

namespace {

// Events after the first one by which the pace of a stream is measured, and the
// time that an unloaded engine takes for them.
constexpr std::uint64_t kPaceEvents = 4;
constexpr Duration kExpectedPace = std::chrono::milliseconds(160);

}  // namespace

SendClocks::SendClocks(AnswerClock& clock) : clock_(clock) {}

auto SendClocks::Begin(Instant now, const VersionKey& key, Duration expected)
    -> void {
  key_ = key;
  events_ = 0;
  pace_ = 0;
  delay_ = clock_.Begin(now, key, expected);
}

auto SendClocks::OnHead(Instant now) -> void {
  clock_.OnAnswer(now, delay_);
}

auto SendClocks::OnEvent(Instant now) -> void {
  ++events_;
  if (events_ == 1) {
    VersionKey key = key_;
    key.route += kPaceSuffix;
    pace_ = clock_.Begin(now, key, kExpectedPace);
  } else if (events_ == 1 + kPaceEvents) {
    clock_.OnAnswer(now, pace_);
  }
}

auto SendClocks::End(Instant now, UnansweredEnd end) -> void {
  clock_.OnEnd(now, delay_, end);
  clock_.OnEnd(now, pace_, end);
}

}  // namespace zinniastep
