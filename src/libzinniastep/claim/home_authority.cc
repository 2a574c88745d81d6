#include "libzinniastep/claim/home_authority.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "libzinniastep/claim/claim_reply.h"

namespace zinniastep {

namespace {

constexpr std::size_t kWaitingKeys = 4096;

}  // namespace

HomeAuthority::HomeAuthority(const ClusterView& cluster,
                             const ClaimLimits& limits)
    : cluster_(&cluster),
      limits_(limits),
      replays_(limits),
      waiting_(limits.waiters_per_key, kWaitingKeys) {}

auto HomeAuthority::OnAsk(Instant now,
                          const PeerRef& from,
                          const ClaimAsk& ask,
                          ClaimOutbox& outbox) -> void {
  OnTime(now);
  const Waiter waiter{from, ask};
  Entries* entries = PeriodOf(ask.home);
  if (entries == nullptr) {
    outbox.Send(from, MakeVerdict(ask, ClaimAnswer::kExpired));
    return;
  }
  const auto found = entries->find(ask.key);
  if (found == entries->end()) {
    Grant(waiter, *entries, outbox);
    return;
  }
  const ClaimEntry& entry = found->second;
  const ClaimAnswer answer = Judge(entry, ask);
  if (answer == ClaimAnswer::kWait) {
    waiting_.Add(waiter);
    AskHolder(*cluster_, entry, ask.key, ask.home, outbox);
  }
  outbox.Send(from, MakeVerdict(ask, answer, replays_));
}

auto HomeAuthority::OnReport(Instant now,
                             const PeerRef& from,
                             const ClaimReport& report,
                             ClaimOutbox& outbox) -> void {
  outbox.Send(from, ClaimReportTaken{report.request});
  waiting_.Remove(report.key, report.request);
  Entries* entries = PeriodOf(report.home);
  if (entries == nullptr) {
    return;
  }
  const auto found = entries->find(report.key);
  if (found == entries->end()) {
    return;
  }
  const ReportEffect effect =
      ApplyOutcome(report.request, report.outcome, found->second);
  if (effect == ReportEffect::kNothing) {
    return;
  }
  if (effect == ReportEffect::kFreed) {
    entries->erase(found);
    --entry_count_;
  }
  if (report.outcome == ClaimOutcome::kRan) {
    replays_.Keep(now, report.key, AnswerOf(report));
  }
  WakeWaiters(report.key, *entries, outbox);
}

auto HomeAuthority::OnTime(Instant now) -> void {
  replays_.OnTime(now);
  const auto passed = now.time_since_epoch() / limits_.home_period;
  period_ = std::max(period_, static_cast<std::uint64_t>(passed) + 1);
  while (!periods_.empty() &&
         periods_.begin()->first + limits_.home_periods_kept < period_) {
    entry_count_ -= periods_.begin()->second.size();
    periods_.erase(periods_.begin());
  }
}

auto HomeAuthority::OnHostLost(Instant /*now*/,
                               Incarnation incarnation,
                               ClaimOutbox& outbox) -> void {
  for (auto& [period, entries] : periods_) {
    std::vector<KeyDigest> changed;
    for (auto& [key, entry] : entries) {
      if (entry.state == ClaimState::kHeld &&
          entry.request.incarnation == incarnation) {
        entry.state = ClaimState::kUnknown;
        changed.push_back(key);
      }
    }
    for (const KeyDigest& key : changed) {
      WakeWaiters(key, entries, outbox);
    }
  }
}

auto HomeAuthority::binding() const -> HomeBinding {
  return HomeBinding{cluster_->self().incarnation, period_};
}

auto HomeAuthority::PeriodOf(const HomeBinding& home) -> Entries* {
  if (home.incarnation != cluster_->self().incarnation ||
      home.period > period_ ||
      home.period + limits_.home_periods_kept < period_) {
    return nullptr;
  }
  return &periods_[home.period];
}

auto HomeAuthority::Grant(const Waiter& waiter,
                          Entries& entries,
                          ClaimOutbox& outbox) -> void {
  const ClaimAsk& ask = waiter.ask;
  if (entry_count_ >= limits_.home_keys) {
    outbox.Send(waiter.from, MakeVerdict(ask, ClaimAnswer::kUnavailable));
    return;
  }
  entries.emplace(ask.key,
                  ClaimEntry{ClaimState::kHeld, ask.request, ask.body_hash, 0});
  ++entry_count_;
  outbox.Send(waiter.from, MakeVerdict(ask, ClaimAnswer::kGranted));
}

auto HomeAuthority::WakeWaiters(const KeyDigest& key,
                                Entries& entries,
                                ClaimOutbox& outbox) -> void {
  for (const Waiter& waiter : waiting_.Take(key)) {
    const auto found = entries.find(key);
    if (found == entries.end()) {
      Grant(waiter, entries, outbox);
      continue;
    }
    const ClaimAnswer answer = Judge(found->second, waiter.ask);
    if (answer == ClaimAnswer::kWait) {
      waiting_.Add(waiter);
      continue;
    }
    outbox.Send(waiter.from, MakeVerdict(waiter.ask, answer, replays_));
  }
}

}  // namespace zinniastep
