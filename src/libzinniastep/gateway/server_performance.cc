#include "libzinniastep/gateway/server_performance.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zinniastep {

namespace {

// Percentages outside of these bounds are not believed.
constexpr std::uint32_t kMinPacePercent = 10;
constexpr std::uint32_t kMaxPacePercent = 1000;
// Time constant of the smoothing of stated paces. Servers change them many
// times a second, and many hosts see the same figure.
constexpr double kPaceSmoothingSeconds = 1.0;
// Weight of one statement at most: a single figure tells little of a pace that
// changes many times a second.
constexpr double kMaxPaceWeight = 0.5;
// A pace returns to the usual after this time without a statement, with this
// time constant. Statements that come more often are not faded between.
constexpr Duration kPaceHold = std::chrono::milliseconds(500);
constexpr double kPaceFadeSeconds = 2.5;
// Time constant with which the evidence of the long-term speed ages.
constexpr double kSpeedFadeSeconds = 30.0;
// Responses before the long-term speed is used.
constexpr std::uint32_t kMinResponses = 5;
// Evidence below this weight, in responses, is as good as none.
constexpr double kMinWeight = 0.5;
// Weight of the assumption that a server has the usual speed, in responses. The
// speed thereby returns to 1 without a step as its evidence ages.
constexpr double kUsualSpeedWeight = 2.0;
constexpr double kMinSpeed = 0.25;
constexpr double kMaxSpeed = 4.0;
// Delay that a running request adds to the next one on a server of
// `kReferenceSlots` slots: a tenth of a millisecond per token for about 300
// tokens. Larger servers share it among their slots.
constexpr double kRunningMs = 30.0;
// The same for a waiting request, whose prompt is read first.
constexpr double kWaitingMs = 150.0;
constexpr double kReferenceSlots = 12.0;
// Cost of each request that is expected beyond the slots. It is not scaled by
// the speed, since a fast server declines as well. In the load played by
// server_choice_load_test, 150 ms let more requests be declined, and 1000 ms
// made the answers slower without fewer of them at 70 hosts.
constexpr double kFullMs = 400.0;

auto Fade(Duration age, double seconds) -> double {
  return std::exp(-std::chrono::duration<double>(age).count() / seconds);
}

}  // namespace

ServerPerformance::ServerPerformance(
    std::shared_ptr<ServicePerformance> service)
    : service_(std::move(service)) {}

auto ServerPerformance::OnPace(Instant now, std::uint32_t percent) -> bool {
  if (percent < kMinPacePercent || percent > kMaxPacePercent) {
    return false;
  }
  double kept = 1.0 - kMaxPaceWeight;
  if (pace_at_.has_value()) {
    kept = std::max(kept, Fade(now - *pace_at_, kPaceSmoothingSeconds));
  }
  pace_ = kept * Pace(now) + (1.0 - kept) * percent / 100.0;
  pace_at_ = now;
  if (service_ != nullptr) {
    service_->OnPace(now);
  }
  return true;
}

auto ServerPerformance::OnLoad(double requests, std::uint32_t slots) -> void {
  if (service_ != nullptr && slots > 0) {
    service_->OnUse(requests / slots);
  }
}

auto ServerPerformance::OnTimes(Instant now, const ResponseTimes& times)
    -> void {
  if (service_ == nullptr) {
    return;
  }
  // The stated pace explains a part of the time; the rest is the server's
  // speed. A false pace is thereby corrected within the bounds of the speed.
  const auto log_speed = service_->Compare(times, Pace(now));
  if (!log_speed.has_value()) {
    return;
  }
  const double kept = Fade(now - times_at_, kSpeedFadeSeconds);
  if (weight_ * kept < kMinWeight) {
    responses_ = 0;
  }
  weight_ = weight_ * kept + 1.0;
  log_speeds_ = log_speeds_ * kept + *log_speed;
  responses_ = std::min(responses_ + 1, kMinResponses);
  times_at_ = now;
}

auto ServerPerformance::OnBegin(double tokens) -> void {
  held_tokens_ += tokens;
  if (service_ != nullptr) {
    service_->OnRequest(tokens);
  }
}

auto ServerPerformance::OnEnd(double tokens) -> void {
  held_tokens_ = std::max(0.0, held_tokens_ - tokens);
}

auto ServerPerformance::KeepTokens(const ServerPerformance& before) -> void {
  held_tokens_ = before.held_tokens_;
}

auto ServerPerformance::Pace(Instant now) const -> double {
  if (!pace_at_.has_value()) {
    return 1.0;
  }
  const Duration age = std::max(Duration(0), now - *pace_at_ - kPaceHold);
  return 1.0 + (pace_ - 1.0) * Fade(age, kPaceFadeSeconds);
}

auto ServerPerformance::Speed(Instant now) const -> double {
  if (responses_ < kMinResponses) {
    return 1.0;
  }
  const double kept = Fade(now - times_at_, kSpeedFadeSeconds);
  const double log_speed =
      log_speeds_ * kept / (weight_ * kept + kUsualSpeedWeight);
  return std::clamp(std::exp(log_speed), kMinSpeed, kMaxSpeed);
}

auto ServerPerformance::Load(const ServerQueue& queue) const -> double {
  const double usual =
      service_ == nullptr ? 0.0 : service_->mean_use() * queue.slots;
  return std::max(queue.own, (queue.own + queue.others) * queue.freshness +
                                 usual * (1.0 - queue.freshness));
}

auto ServerPerformance::HeldTokens(double others) const -> double {
  return held_tokens_ +
         (service_ == nullptr ? 0.0 : others * service_->mean_tokens());
}

auto ServerPerformance::FirstEventMs(Instant now,
                                     const ServerQueue& queue,
                                     double work_ms) const -> double {
  const double slots = std::max(queue.slots, 1U);
  const double load = Load(queue);
  // The load is an estimate: other hosts send at the same time. The expected
  // number of requests beyond the slots therefore rises before they are full.
  const double spread = std::sqrt(load + 1.0);
  const double beyond =
      spread * std::log1p(std::exp((load + 1.0 - slots) / spread));
  const double waiting = queue.waiting * queue.freshness;
  const double queue_ms =
      (load * kRunningMs + waiting * kWaitingMs) * kReferenceSlots / slots;
  return (queue_ms + work_ms) * Pace(now) / Speed(now) +
         beyond * kFullMs * kReferenceSlots / slots;
}

}  // namespace zinniastep
