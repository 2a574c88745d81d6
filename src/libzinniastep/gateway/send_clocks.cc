#include "libzinniastep/gateway/send_clocks.h"

namespace zinniastep {

namespace {

// Events after the first one by which the pace of a stream is measured, and the
// time that an unloaded engine takes for them.
constexpr std::uint64_t kPaceEvents = 4;
constexpr Duration kExpectedPace = std::chrono::milliseconds(160);
// Events after the first one by which a server's speed is measured. They end
// while the pace that the server stated in the head still holds.
constexpr std::uint32_t kSpeedEvents = 8;

}  // namespace

SendClocks::SendClocks(AnswerClock& clock) : clock_(clock) {}

auto SendClocks::Begin(Instant now, const VersionKey& key, Duration expected)
    -> void {
  key_ = key;
  events_ = 0;
  pace_ = 0;
  began_ = now;
  times_ = ResponseTimes{};
  times_.expected_first = expected;
  times_taken_ = false;
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
    first_event_at_ = now;
    times_.first_event = now - began_;
  } else if (events_ == 1 + kPaceEvents) {
    clock_.OnAnswer(now, pace_);
  }
  if (events_ > 1 && events_ <= 1 + kSpeedEvents) {
    ++times_.later_events;
    times_.later = now - first_event_at_;
  }
}

auto SendClocks::TakeTimes(bool is_over) -> std::optional<ResponseTimes> {
  if (times_taken_ || events_ == 0 ||
      (!is_over && times_.later_events < kSpeedEvents)) {
    return std::nullopt;
  }
  times_taken_ = true;
  return times_;
}

auto SendClocks::End(Instant now, UnansweredEnd end) -> void {
  clock_.OnEnd(now, delay_, end);
  clock_.OnEnd(now, pace_, end);
}

}  // namespace zinniastep
