#include "libzinniastep/gateway/store_follower.h"

#include <chrono>
#include <string>
#include <string_view>
#include <variant>

#include "libzinniastep/base/overloaded.h"

namespace zinniastep {

namespace {

// The store reports servers that start or leave together one by one; changes
// are collected for this fraction of the time after which a leaving server must
// get no more requests.
constexpr int kServersBatchDivisor = 10;

auto Number(RecordKind kind) -> std::string {
  return std::to_string(static_cast<int>(kind));
}

}  // namespace

StoreFollower::StoreFollower(const GatewaySettings& settings,
                             Random& random,
                             RecordMirror& mirror,
                             KeptRecords& kept,
                             GatewayOutbox& outbox)
    : times_(), mirror_(mirror), kept_(kept), outbox_(outbox) {
  for (std::size_t index = 0; index < kRecordKinds; ++index) {
    const auto kind = static_cast<RecordKind>(index);
    times_.at(index) = TimeToTakeEffect(settings, kind);
    const WatchPace pace = PaceForSelf(times_.at(index));
    WatcherLimits limits;
    limits.shortest_wait = pace.shortest_wait;
    limits.longest_wait = pace.longest_wait;
    limits.watch_slack = pace.slack;
    if (kind == RecordKind::kBackendServers) {
      limits.batch_pause = settings.leaving_time / kServersBatchDivisor;
    }
    watchers_.emplace_back(kind, limits, random.Next());
  }
}

auto StoreFollower::At(RecordKind kind) -> RecordWatcher& {
  return watchers_.at(static_cast<std::size_t>(kind));
}

auto StoreFollower::StartReads(Instant now, bool may_watch) -> void {
  for (RecordWatcher& watcher : watchers_) {
    if (auto read = watcher.NextRead(now, may_watch)) {
      std::visit([this](auto& specific) { outbox_.Add(specific); }, *read);
    }
  }
}

auto StoreFollower::ReadForSelf() -> void {
  for (std::size_t kind = 0; kind < kRecordKinds; ++kind) {
    watchers_.at(kind).SetWaits(PaceForSelf(times_.at(kind)));
  }
}

auto StoreFollower::ReadForOthers(std::size_t order) -> void {
  for (std::size_t kind = 0; kind < kRecordKinds; ++kind) {
    watchers_.at(kind).SetWaits(PaceForOthers(times_.at(kind), order));
  }
}

auto StoreFollower::SetPause(RecordKind kind, Duration pause) -> void {
  At(kind).SetPause(pause);
}

auto StoreFollower::Accept(Instant now,
                           RecordKind kind,
                           const RecordReadResult& result) -> bool {
  using enum StoreEra::Verdict;
  const std::uint64_t known = era_.current();
  const ReportedEra reported = EraOf(result);
  const StoreEra::Verdict verdict = era_.Judge(now, reported);
  if (verdict == kLater) {
    OnLaterEra(now);
  } else if (verdict != kCurrent) {
    const auto* number = std::get_if<std::uint64_t>(&reported);
    outbox_.Log(verdict == kUnreadable    ? "store_era_unreadable"
                : verdict == kUnconfirmed ? "store_era_unconfirmed"
                                          : "store_era_earlier",
                {{"kind", Number(kind)},
                 {"era", number == nullptr ? "" : std::to_string(*number)},
                 {"known", std::to_string(known)},
                 {"used", IsUsed(verdict) ? "yes" : "no"}});
  }
  return IsUsed(verdict);
}

auto StoreFollower::LogLostWatch(Instant now,
                                 RecordKind kind,
                                 const RecordReadResult& result) -> void {
  if (At(kind).IsStray(result)) {
    return;
  }
  const auto log = [&](std::string_view reason) {
    outbox_.Log(
        "store_watch_lost",
        {{"kind", Number(kind)},
         {"reason", std::string(reason)},
         {"waited_ms",
          std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                             At(kind).ReadTime(now))
                             .count())},
         {"as_of", std::to_string(At(kind).as_of())}});
  };
  std::visit(Overloaded{[&](const HistoryGone&) { log("history_gone"); },
                        [&](const ReadFailed& failed) {
                          if (failed.is_watch) {
                            log(failed.answered ? "refused" : "unanswered");
                          }
                        },
                        [](const auto&) {}},
             result);
}

auto StoreFollower::OnRead(Instant now,
                           RecordKind kind,
                           const RecordReadResult& result) -> bool {
  RecordWatcher& watcher = At(kind);
  outbox_.LogUnreadable(kind, result);
  LogLostWatch(now, kind, result);
  if (!Accept(now, kind, result)) {
    watcher.OnUnused(now, result);
    return false;
  }
  const std::uint32_t failures_before = watcher.failures_in_row();
  const std::uint64_t era = era_.current();
  bool changed = false;
  if (const auto* changes = std::get_if<RecordChanges>(&result);
      changes != nullptr && watcher.IsWatchOf(era)) {
    changed = mirror_.Apply(kind, {era, changes->as_of}, changes->changes);
    for (const RecordChange& change : changes->changes) {
      if (change.removed) {
        changed = kept_.OnRemoved(kind, change.record.name) || changed;
      }
    }
  }
  if (const auto whole = watcher.OnResult(now, result, era)) {
    changed = mirror_.Replace(*whole) || changed;
  }
  if (watcher.failures_in_row() == 1 && failures_before == 0) {
    outbox_.Log("store_lost", {{"kind", Number(kind)}});
  } else if (watcher.failures_in_row() == 0 && failures_before > 0) {
    outbox_.Log("store_regained",
                {{"kind", Number(kind)},
                 {"failures", std::to_string(failures_before)}});
  }
  return changed;
}

auto StoreFollower::OnPeerEra(Instant now, std::uint64_t era) -> void {
  if (era_.OnPeerEra(era)) {
    OnLaterEra(now);
  }
}

auto StoreFollower::OnLaterEra(Instant now) -> void {
  outbox_.Log("store_era_entered", {{"era", std::to_string(era_.current())}});
  for (RecordWatcher& watcher : watchers_) {
    watcher.OnEra(now, era_.current());
  }
}

}  // namespace zinniastep
