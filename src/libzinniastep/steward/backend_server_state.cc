#include "libzinniastep/steward/backend_server_state.h"

#include <algorithm>
#include <utility>

namespace zinniastep {

namespace {

// Cached prefixes that are remembered for one server.
constexpr std::size_t kMostPrefixes = 64;
// Samples before a jump of the first-token time means anything.
constexpr std::uint32_t kLeastSamples = 8;
// A first token later than so many times the usual shows a cold server.
constexpr int kFirstTokenJump = 4;
constexpr Duration kLeastFirstTokenJump = std::chrono::milliseconds(500);
// Weight of the newest first-token time: one part in so many.
constexpr int kFirstTokenWeight = 8;
// Requests of earlier stewards are over after this time.
constexpr Duration kInheritedBound = std::chrono::minutes(10);

}  // namespace

BackendServerState::BackendServerState(BackendServerRule rule,
                                       const StewardSettings& settings,
                                       Instant ready_from)
    : rule_(std::move(rule)),
      settings_(settings),
      limit_(rule_.cold_limit),
      limit_when_warm_(rule_.cold_limit),
      ready_from_(ready_from) {}

auto BackendServerState::OnRule(const BackendServerRule& rule) -> void {
  rule_ = rule;
  limit_ = std::min(limit_, static_cast<double>(rule_.warm_limit));
}

auto BackendServerState::OnReport(Instant now,
                                  Instant polled,
                                  const LoadReport& report) -> void {
  if (report.incarnation != 0 && report.incarnation == earlier_incarnation_) {
    return;
  }
  FollowIncarnation(now, report);
  FollowWarmth(now, polled, report);
  FollowRunning(now, polled, report.running);
  reported_ = true;
  last_report_ = now;
  queued_ = report.queued;
  versions_ = report.versions;
  for (const std::uint64_t prefix : report.cached_prefixes) {
    prefixes_.push_back(prefix);
    if (prefixes_.size() > kMostPrefixes) {
      prefixes_.pop_front();
    }
  }
}

auto BackendServerState::FollowIncarnation(Instant now,
                                           const LoadReport& report) -> void {
  if (report.incarnation == incarnation_) {
    return;
  }
  if (incarnation_ != 0) {
    TurnCold(now, rule_.cold_limit);
    prefixes_.clear();
  }
  // The report is of the new incarnation, so that nothing older is in it.
  distrust_until_ = Instant{};
  earlier_incarnation_ = std::exchange(incarnation_, report.incarnation);
}

auto BackendServerState::FollowWarmth(Instant now,
                                      Instant polled,
                                      const LoadReport& report) -> void {
  if (!report.warm) {
    if (warm_) {
      TurnCold(now, rule_.cold_limit);
      distrust_until_ = Instant{};
    }
    return;
  }
  if (warm_ || polled < distrust_until_) {
    return;
  }
  warm_ = true;
  const double borne = std::min(report.running, rule_.warm_limit);
  limit_ = std::max({limit_when_warm_, static_cast<double>(rule_.cold_limit),
                     reported_ ? 0.0 : borne});
}

auto BackendServerState::FollowRunning(Instant now,
                                       Instant polled,
                                       std::uint32_t running) -> void {
  reported_running_ = running;
  if (!ready_ && polled >= ready_from_) {
    ready_ = true;
    inherited_ = running;
    inherited_until_ = now + kInheritedBound;
    shrink_from_ = polled;
  } else if (ready_ && polled >= shrink_from_) {
    inherited_ = std::min(inherited_, running);
  }
}

auto BackendServerState::OnOutcome(Instant now, const CreditOutcome& outcome)
    -> void {
  const bool other_run = outcome.server_incarnation != 0 &&
                         outcome.server_incarnation != incarnation_;
  if (other_run) {
    if (outcome.server_incarnation != earlier_incarnation_ && warm_) {
      TurnCold(now, rule_.cold_limit);
    }
    return;
  }
  if (outcome.result == CreditResult::kOverloaded) {
    TurnCold(now, limit_ / 2);
    return;
  }
  if (outcome.result != CreditResult::kAnswered) {
    return;
  }
  LearnFirstToken(now, outcome.first_token);
  const bool in_use = outstanding_ + 1 >= limit();
  if (warm_ && in_use && limit_ < rule_.warm_limit) {
    limit_ = std::min(limit_ + 1.0 / std::max(limit_, 1.0),
                      static_cast<double>(rule_.warm_limit));
  }
}

auto BackendServerState::LearnFirstToken(Instant now, Duration first_token)
    -> void {
  if (first_token <= Duration::zero()) {
    return;
  }
  const Duration jump = std::max(first_token_ * kFirstTokenJump,
                                 first_token_ + kLeastFirstTokenJump);
  if (warm_ && first_token_samples_ >= kLeastSamples && first_token > jump) {
    TurnCold(now, rule_.cold_limit);
    return;
  }
  first_token_ =
      first_token_samples_ == 0
          ? first_token
          : first_token_ + (first_token - first_token_) / kFirstTokenWeight;
  ++first_token_samples_;
}

auto BackendServerState::TurnCold(Instant now, double limit_when_warm) -> void {
  warm_ = false;
  limit_ = rule_.cold_limit;
  limit_when_warm_ =
      std::max(limit_when_warm, static_cast<double>(rule_.cold_limit));
  distrust_until_ = now + settings_.report_lag;
}

auto BackendServerState::Released() -> void {
  if (outstanding_ > 0) {
    --outstanding_;
  }
}

auto BackendServerState::AwaitReport(Instant ready_from) -> void {
  ready_ = false;
  ready_from_ = ready_from;
}

auto BackendServerState::Inherit(Instant now, std::uint32_t count) -> void {
  ready_ = true;
  inherited_ = count;
  inherited_until_ = now + kInheritedBound;
  // Until then a report may miss a request that is still on its way.
  shrink_from_ = now + settings_.credit_lifetime + settings_.report_lag;
}

auto BackendServerState::InheritLate(Instant now, std::uint32_t count) -> void {
  inherited_ = Inherited(now) + count;
  inherited_until_ = now + kInheritedBound;
  shrink_from_ = now + settings_.credit_lifetime + settings_.report_lag;
}

auto BackendServerState::Inherited(Instant now) const -> std::uint32_t {
  return now < inherited_until_ ? inherited_ : 0;
}

auto BackendServerState::Occupancy(Instant now) const -> std::uint32_t {
  const std::uint32_t granted = outstanding_ + Inherited(now);
  return warm_ ? std::max(outstanding_, reported_running_) : granted;
}

auto BackendServerState::Headroom(Instant now, std::uint32_t cold_share) const
    -> std::uint32_t {
  if (!ready_ || !IsReporting(now)) {
    return 0;
  }
  const std::uint32_t bound = warm_ ? limit() : std::min(cold_share, limit());
  const std::uint32_t occupancy = Occupancy(now);
  return occupancy < bound ? bound - occupancy : 0;
}

auto BackendServerState::IsReporting(Instant now) const -> bool {
  return reported_ && now - last_report_ < settings_.poll_silence;
}

auto BackendServerState::Caches(std::uint64_t prefix) const -> bool {
  return std::find(prefixes_.begin(), prefixes_.end(), prefix) !=
         prefixes_.end();
}

auto BackendServerState::limit() const -> std::uint32_t {
  return warm_ ? static_cast<std::uint32_t>(limit_) : rule_.cold_limit;
}

}  // namespace zinniastep
