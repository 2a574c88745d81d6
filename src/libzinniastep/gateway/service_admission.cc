#include "libzinniastep/gateway/service_admission.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <utility>

#include "libzinniastep/base/overloaded.h"

namespace zinniastep {

namespace {

// A limit lapses this long after the last decline.
constexpr Duration kLimitLife = std::chrono::seconds(5);
// A request is refused only if a server declined one within this time, and this
// part of the recent requests was declined. Load changes within a second, and a
// wrong refusal costs more than a wait.
constexpr Duration kFreshDecline = std::chrono::seconds(1);
constexpr double kFullShare = 0.25;
// Time constant of the counts of recent requests.
constexpr double kCountSeconds = 2.0;
// The part is in effect for this long after a server stated its pace.
constexpr Duration kPaceLife = std::chrono::seconds(10);
constexpr double kLeastLimit = 2.0;
// What an answer adds to a limit that is in use. A decline takes off the part
// of the requests that is declined, so that the limit is in balance when about
// half of the requests are declined once. With 1/16 the play of a burst in
// service_admission_load_test begins 66% of the requests in time instead of
// 68%, since slots stay free.
constexpr double kRaise = 1.0 / 4.0;
// The same while the service is not full.
constexpr double kFastRaise = 0.5;
// Part of the target that a request waits at most, so that a second send still
// fits, and without an estimate of the wait.
constexpr int kWaitPart = 2;
constexpr int kBlindWaitPart = 8;
// A request is refused at once only if its estimated wait exceeds the longest
// wait by this factor.
constexpr double kRefusalMargin = 2.0;
// Answers without which the wait is not estimated.
constexpr std::uint64_t kLeastEnded = 5;
constexpr double kMeanWeight = 1.0 / 16.0;
constexpr double kPaceWeight = 1.0 / 8.0;
constexpr std::uint32_t kLeastPace = 10;
constexpr std::uint32_t kMostPace = 1000;
// Time constant of the peak of open requests.
constexpr double kPeakSeconds = 1.0;
// Rank of requests beyond their account's usual load, after all others.
constexpr std::uint32_t kBeyondUsualRank = 1U << 16U;
// One admission in this many goes by fair shares alone.
constexpr std::uint32_t kFairTurn = 8;
// When refused callers may return, for each step of priority.
constexpr Duration kReturnLeast = std::chrono::milliseconds(100);
constexpr Duration kReturnSpread = std::chrono::milliseconds(300);
constexpr std::uint32_t kMostReturnSteps = 5;

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

auto FromSeconds(double seconds) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

auto Options(const ServiceAdmissionOptions& options) -> AdmissionOptions {
  AdmissionOptions inner;
  inner.most_running = std::numeric_limits<std::size_t>::max();
  inner.most_queued = options.most_queued;
  inner.most_queued_bytes = options.most_queued_bytes;
  inner.max_wait = std::chrono::hours(1);
  inner.urgent_first = true;
  inner.fair_turn = kFairTurn;
  return inner;
}

}  // namespace

auto ToString(AdmissionRefusal reason) -> std::string_view {
  switch (reason) {
    case AdmissionRefusal::kNoCapacityInTime:
      return "no_capacity_in_time";
    case AdmissionRefusal::kQueueFull:
      return "queue_full";
    case AdmissionRefusal::kWaitedTooLong:
      return "waited_too_long";
  }
  return "unknown";
}

auto RequestOf(const AdmissionVerdict& verdict) -> RequestId {
  return std::visit([](const auto& each) { return each.request; }, verdict);
}

ServiceAdmission::ServiceAdmission(ServiceAdmissionOptions options)
    : options_(options), admission_(Options(options)) {}

auto ServiceAdmission::limit() const -> std::optional<double> {
  if (!is_limited_) {
    return std::nullopt;
  }
  return std::max(kLeastLimit, reference_ - lowered_total_);
}

auto ServiceAdmission::IsPaced(Instant now) const -> bool {
  return paced_at_.has_value() && now - *paced_at_ < kPaceLife;
}

auto ServiceAdmission::DeclinedShare() const -> double {
  return recent_declined_ / std::max({recent_granted_, recent_declined_, 1.0});
}

auto ServiceAdmission::DecayCounts(Instant now) -> void {
  const double kept =
      std::exp(-Seconds(now - std::exchange(counted_at_, now)) / kCountSeconds);
  recent_granted_ *= kept;
  recent_declined_ *= kept;
}

auto ServiceAdmission::IsFull(Instant now) const -> bool {
  return is_limited_ && now - last_decline_ < kFreshDecline &&
         DeclinedShare() >= kFullShare;
}

auto ServiceAdmission::OnPace(Instant now, std::uint32_t percent) -> void {
  if (percent < kLeastPace || percent > kMostPace) {
    return;
  }
  paced_at_ = now;
  pace_ += kPaceWeight * (percent / 100.0 - pace_);
}

auto ServiceAdmission::UpdatePeak(Instant now) -> void {
  peak_ *= std::exp(-Seconds(now - peak_at_) / kPeakSeconds);
  peak_ = std::max(peak_, static_cast<double>(running()));
  peak_at_ = now;
}

auto ServiceAdmission::Places() const -> std::size_t {
  const auto limit = this->limit();
  return limit.has_value() ? static_cast<std::size_t>(std::lround(*limit))
                           : std::numeric_limits<std::size_t>::max();
}

auto ServiceAdmission::ApplyLimit() -> void {
  admission_.SetMaxRunning(Places());
}

auto ServiceAdmission::OnDeclined(Instant now,
                                  const RequestId& request,
                                  const BackendServerId& server) -> void {
  if (!IsPaced(now)) {
    return;
  }
  UpdatePeak(now);
  last_decline_ = now;
  if (!is_limited_) {
    is_limited_ = true;
    reference_ = std::max(peak_, kLeastLimit);
    lowered_.clear();
    lowered_total_ = 0.0;
  }
  DecayCounts(now);
  if (declined_.insert(request).second) {
    recent_declined_ += 1.0;
  }
  // One server takes off no more than its part of the limit, so that a server
  // that falsely reports being full does not close the service.
  const double most = std::max(1.0, reference_ / static_cast<double>(servers_));
  double& lowered = lowered_[server];
  const double step =
      std::max(0.0, std::min({DeclinedShare(), most - lowered,
                              reference_ - lowered_total_ - kLeastLimit}));
  lowered += step;
  lowered_total_ += step;
  ApplyLimit();
}

auto ServiceAdmission::Raise(Instant now) -> void {
  if (!is_limited_ || running() + 1 < Places()) {
    return;
  }
  const double raise = IsFull(now) ? kRaise : kFastRaise;
  if (lowered_total_ <= raise) {
    reference_ += raise - lowered_total_;
    lowered_.clear();
    lowered_total_ = 0.0;
  } else {
    const double kept = 1.0 - raise / lowered_total_;
    for (auto& [server, lowered] : lowered_) {
      lowered *= kept;
    }
    lowered_total_ *= kept;
  }
  ApplyLimit();
}

auto ServiceAdmission::EndLimit(Instant now, AdmissionVerdicts& verdicts)
    -> void {
  is_limited_ = false;
  lowered_.clear();
  lowered_total_ = 0.0;
  ApplyLimit();
  Translate(now, admission_.OnTime(now), verdicts);
  admission_.ForgetShares();
}

auto ServiceAdmission::LapseLimit(Instant now, AdmissionVerdicts& verdicts)
    -> void {
  if (is_limited_ && now - last_decline_ >= kLimitLife) {
    EndLimit(now, verdicts);
  }
}

auto ServiceAdmission::OnServers(Instant now, std::size_t servers, double slots)
    -> AdmissionVerdicts {
  AdmissionVerdicts verdicts;
  const double before = std::exchange(slots_, slots);
  servers_ = std::max<std::size_t>(servers, 1);
  if (!is_limited_ || before == slots) {
    return verdicts;
  }
  if (before <= 0.0 || slots <= 0.0) {
    EndLimit(now, verdicts);
    return verdicts;
  }
  const double change = slots / before;
  reference_ *= change;
  lowered_total_ *= change;
  for (auto& [server, lowered] : lowered_) {
    lowered *= change;
  }
  ApplyLimit();
  Translate(now, admission_.OnTime(now), verdicts);
  return verdicts;
}

auto ServiceAdmission::ExpectedWait(double ahead) const
    -> std::optional<Duration> {
  if (!is_limited_ || ended_ < kLeastEnded) {
    return std::nullopt;
  }
  const double excess =
      std::max(0.0, static_cast<double>(running()) - *limit());
  return FromSeconds((ahead + excess + 1.0) * mean_open_seconds_ / *limit());
}

auto ServiceAdmission::Refusal(Instant now,
                               const RequestId& request,
                               AdmissionRefusal reason,
                               const Waiting& waiting) const
    -> AdmissionRefused {
  AdmissionRefused refused;
  refused.request = request;
  refused.reason = reason;
  refused.waited = now - waiting.since;
  const auto steps =
      static_cast<int>(std::min(waiting.priority + 1, kMostReturnSteps));
  refused.return_least = kReturnLeast * steps;
  refused.return_spread = kReturnSpread * steps;
  refused.inputs = waiting.inputs;
  return refused;
}

auto ServiceAdmission::OnGranted(Instant now, const RequestId& request)
    -> void {
  granted_[request] = now;
  DecayCounts(now);
  recent_granted_ += 1.0;
  UpdatePeak(now);
}

auto ServiceAdmission::Start(Instant now, const RequestId& request) -> void {
  admission_.Start(request);
  OnGranted(now, request);
}

auto ServiceAdmission::Translate(
    Instant now,
    const std::vector<AdmissionDecision>& decisions,
    AdmissionVerdicts& verdicts) -> void {
  for (const AdmissionDecision& decision : decisions) {
    std::visit(Overloaded{[](const RequestQueued&) {},
                          [&](const RequestAdmitted& admitted) {
                            const auto found = waiting_.find(admitted.request);
                            verdicts.emplace_back(AdmissionGranted{
                                admitted.request, now - found->second.since});
                            waiting_.erase(found);
                            OnGranted(now, admitted.request);
                          },
                          [&](const RequestShed& shed) {
                            const auto found = waiting_.find(shed.request);
                            const Waiting waiting = found->second;
                            waiting_.erase(found);
                            const bool has_expired =
                                shed.refusal.code == "deadline";
                            if (has_expired && !IsFull(now)) {
                              // Nothing shows that the servers are still full.
                              reference_ += 1.0;
                              ApplyLimit();
                              Start(now, shed.request);
                              verdicts.emplace_back(AdmissionGranted{
                                  shed.request, now - waiting.since});
                              return;
                            }
                            verdicts.emplace_back(Refusal(
                                now, shed.request,
                                has_expired ? AdmissionRefusal::kWaitedTooLong
                                            : AdmissionRefusal::kQueueFull,
                                waiting));
                          }},
               decision);
  }
}

auto ServiceAdmission::Offer(Instant now, const AdmissionCandidate& candidate)
    -> AdmissionVerdicts {
  AdmissionVerdicts verdicts;
  LapseLimit(now, verdicts);
  DecayCounts(now);
  const AccountStanding standing =
      usage_.OnRequest(now, candidate.account, IsFull(now) || queued() > 0);
  if (!is_limited_) {
    Start(now, candidate.request);
    verdicts.emplace_back(AdmissionGranted{candidate.request});
    return verdicts;
  }
  const Duration target = candidate.target > Duration(0)
                              ? candidate.target
                              : candidate.deadline - candidate.began;
  const Duration expected_delay =
      FromSeconds(Seconds(candidate.expected_delay) * std::max(pace_, 1.0));
  const Duration until_late =
      std::min(candidate.began + target, candidate.deadline) - expected_delay -
      now;
  AdmissionRequest request;
  request.request = candidate.request;
  request.account = candidate.account;
  request.share = standing.share;
  request.rank = std::min(candidate.priority, kBeyondUsualRank - 1) +
                 (standing.is_beyond_usual ? kBeyondUsualRank : 0);
  request.bytes = candidate.bytes;

  Waiting waiting{now, candidate.priority, {}};
  AdmissionInputs& inputs = waiting.inputs;
  inputs.limit = *limit();
  inputs.running = running();
  inputs.queued = queued();
  inputs.ahead = admission_.AheadOf(request);
  inputs.expected_wait = ExpectedWait(inputs.ahead);
  inputs.longest_wait = std::min<Duration>(
      until_late,
      target / (inputs.expected_wait.has_value() ? kWaitPart : kBlindWaitPart));
  inputs.is_beyond_usual = standing.is_beyond_usual;
  const bool has_place = running() < Places() && inputs.ahead < 1.0;
  const bool is_in_time = inputs.longest_wait > Duration(0) &&
                          (!inputs.expected_wait.has_value() ||
                           Seconds(*inputs.expected_wait) <=
                               kRefusalMargin * Seconds(inputs.longest_wait));
  if (!has_place && !is_in_time && IsFull(now)) {
    verdicts.emplace_back(Refusal(
        now, candidate.request, AdmissionRefusal::kNoCapacityInTime, waiting));
    return verdicts;
  }
  if (inputs.longest_wait <= Duration(0)) {
    // It is late already, and is sent since nothing shows that it would be
    // declined.
    Start(now, candidate.request);
    verdicts.emplace_back(AdmissionGranted{candidate.request});
    return verdicts;
  }
  request.deadline = now + inputs.longest_wait;
  waiting_.emplace(candidate.request, waiting);
  Translate(now, admission_.Offer(now, request), verdicts);
  if (waiting_.contains(candidate.request)) {
    verdicts.emplace_back(
        AdmissionWaits{candidate.request, request.deadline, inputs});
  }
  return verdicts;
}

auto ServiceAdmission::Finish(Instant now,
                              const RequestId& request,
                              bool was_answered) -> AdmissionVerdicts {
  AdmissionVerdicts verdicts;
  LapseLimit(now, verdicts);
  waiting_.erase(request);
  const bool was_declined = declined_.erase(request) > 0;
  if (const auto found = granted_.find(request); found != granted_.end()) {
    if (was_answered) {
      const double open = Seconds(now - found->second);
      ++ended_;
      mean_open_seconds_ +=
          std::max(kMeanWeight, 1.0 / static_cast<double>(ended_)) *
          (open - mean_open_seconds_);
      if (!was_declined) {
        Raise(now);
      }
    }
    granted_.erase(found);
  }
  Translate(now, admission_.Finish(now, request), verdicts);
  return verdicts;
}

auto ServiceAdmission::OnTime(Instant now) -> AdmissionVerdicts {
  AdmissionVerdicts verdicts;
  LapseLimit(now, verdicts);
  Translate(now, admission_.OnTime(now), verdicts);
  return verdicts;
}

auto ServiceAdmission::NextTime() const -> Instant {
  return last_decline_ + kLimitLife;
}

}  // namespace zinniastep
