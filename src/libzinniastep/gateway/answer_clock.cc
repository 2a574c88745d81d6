#include "libzinniastep/gateway/answer_clock.h"

#include <utility>

namespace zinniastep {

AnswerClock::AnswerClock(VersionEvidence& evidence) : evidence_(evidence) {}

auto AnswerClock::Begin(Instant now, VersionKey key, Duration expected)
    -> SendId {
  const SendId id = next_++;
  sends_.emplace(id, Send{std::move(key), now, expected});
  return id;
}

auto AnswerClock::CountPassed(Instant now, Send& send) -> void {
  const auto has_passed = [&] {
    return send.step < kDelaySteps &&
           now - send.began > send.expected * DelayFactor(send.step);
  };
  while (has_passed()) {
    evidence_[send.key].waiting[send.step] += 1;
    ++send.step;
  }
}

auto AnswerClock::Withdraw(const Send& send) -> void {
  for (std::size_t step = 0; step < send.step; ++step) {
    evidence_[send.key].waiting[step] -= 1;
  }
}

auto AnswerClock::OnAnswer(Instant now, SendId id) -> void {
  const auto found = sends_.find(id);
  if (found == sends_.end()) {
    return;
  }
  Send& send = found->second;
  CountPassed(now, send);
  Withdraw(send);
  VersionCounts& counts = evidence_[send.key];
  for (std::size_t step = 0; step < kDelaySteps; ++step) {
    (step < send.step ? counts.slower : counts.faster)[step] += 1;
  }
  sends_.erase(found);
}

auto AnswerClock::OnEnd(Instant now, SendId id, UnansweredEnd end) -> void {
  const auto found = sends_.find(id);
  if (found == sends_.end()) {
    return;
  }
  Send& send = found->second;
  CountPassed(now, send);
  Withdraw(send);
  if (end == UnansweredEnd::kTooSlow) {
    for (std::size_t step = 0; step < send.step; ++step) {
      evidence_[send.key].slower[step] += 1;
    }
  }
  sends_.erase(found);
}

auto AnswerClock::Advance(Instant now) -> void {
  for (auto& [id, send] : sends_) {
    CountPassed(now, send);
  }
}

}  // namespace zinniastep
