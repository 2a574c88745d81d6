#include "libzinniastep/gateway/record_watcher.h"

#include <algorithm>
#include <utility>

#include "libzinniastep/base/overloaded.h"

namespace zinniastep {

namespace {

// Doublings after which pauses and list timeouts have reached their maximum.
constexpr std::uint32_t kMaxDoublings = 6;

}  // namespace

auto EraOf(const RecordReadResult& result) -> ReportedEra {
  return std::visit(Overloaded{[](const ReadFailed&) { return ReportedEra(); },
                               [](const auto& answer) { return answer.era; }},
                    result);
}

RecordWatcher::RecordWatcher(RecordKind kind,
                             WatcherLimits limits,
                             std::uint64_t seed)
    : kind_(kind), limits_(limits), random_(seed) {
  pages_.kind = kind;
}

auto RecordWatcher::NextRead(Instant now, bool may_watch)
    -> std::optional<RecordRead> {
  if (reading_ || now < not_before_ || (!listing_ && !may_watch)) {
    return std::nullopt;
  }
  reading_ = true;
  read_began_ = now;
  if (listing_) {
    const Duration timeout =
        std::min(limits_.longest_list_timeout,
                 limits_.first_list_timeout *
                     (1U << std::min(failures_, kMaxDoublings)));
    return ListRecords{kind_, after_, timeout};
  }
  const Duration wait =
      limits_.shortest_wait +
      std::chrono::duration_cast<Duration>(
          (limits_.longest_wait - limits_.shortest_wait) * random_.Unit());
  return WatchRecords{kind_, as_of_, wait, wait + limits_.watch_slack};
}

auto RecordWatcher::Pause(Instant now) -> void {
  const Duration pause = std::min(
      limits_.longest_pause,
      limits_.first_pause * (1U << std::min(failures_, kMaxDoublings)));
  // Jitter spreads the retries of hosts that failed together over the pause.
  const double fraction = 0.5 + 0.5 * random_.Unit();
  not_before_ = now + std::chrono::duration_cast<Duration>(pause * fraction);
  ++failures_;
}

auto RecordWatcher::ListAgain(Instant now) -> void {
  listing_ = true;
  after_.clear();
  pages_ = {};
  pages_.kind = kind_;
  Pause(now);
}

auto RecordWatcher::IsStray(const RecordReadResult& result) const -> bool {
  return std::visit(
      Overloaded{[this](const RecordPage&) { return !listing_; },
                 [this](const RecordChanges&) { return listing_; },
                 [this](const HistoryGone&) { return listing_; },
                 [this](const ReadFailed& failed) {
                   return failed.is_watch && listing_;
                 }},
      result);
}

auto RecordWatcher::OnUnused(Instant now, const RecordReadResult& result)
    -> void {
  if (IsStray(result)) {
    return;
  }
  reading_ = false;
  ListAgain(now);
}

auto RecordWatcher::OnEra(Instant now, std::uint64_t era) -> void {
  if (!listing_ && era > era_) {
    reading_ = false;
    ListAgain(now);
  }
}

auto RecordWatcher::Take(Instant now, const RecordPage& page, std::uint64_t era)
    -> std::optional<RecordSnapshot> {
  if (!after_.empty() && era != era_) {
    // The earlier pages are of a state that was lost.
    ListAgain(now);
    return std::nullopt;
  }
  era_ = era;
  failures_ = 0;
  not_before_ = now;
  // Pages may be of different revisions: a watch from the first page's revision
  // is safe, since it returns again what later pages already contained.
  if (after_.empty()) {
    pages_.as_of = {era, page.as_of};
  }
  pages_.records.insert(pages_.records.end(), page.records.begin(),
                        page.records.end());
  const std::string last = !page.last_name.empty() ? page.last_name
                           : page.records.empty()  ? std::string()
                                                   : page.records.back().name;
  if (page.has_more && !last.empty()) {
    after_ = last;
    return std::nullopt;
  }
  after_.clear();
  listing_ = false;
  as_of_ = pages_.as_of.revision;
  RecordSnapshot snapshot = std::move(pages_);
  pages_ = {};
  pages_.kind = kind_;
  return snapshot;
}

auto RecordWatcher::OnResult(Instant now,
                             const RecordReadResult& result,
                             std::uint64_t era)
    -> std::optional<RecordSnapshot> {
  if (IsStray(result)) {
    return std::nullopt;
  }
  reading_ = false;
  return std::visit(
      Overloaded{
          [&](const RecordPage& page) { return Take(now, page, era); },
          [&](const RecordChanges& changes) -> std::optional<RecordSnapshot> {
            if (era != era_) {
              // The changes follow a state that this host does not have.
              ListAgain(now);
              return std::nullopt;
            }
            failures_ = 0;
            not_before_ =
                changes.changes.empty()
                    ? now
                    : now + std::max(limits_.batch_pause, least_pause_);
            as_of_ = std::max(as_of_, changes.as_of);
            return std::nullopt;
          },
          [&](const HistoryGone&) -> std::optional<RecordSnapshot> {
            ListAgain(now);
            return std::nullopt;
          },
          [&](const ReadFailed&) -> std::optional<RecordSnapshot> {
            ListAgain(now);
            return std::nullopt;
          }},
      result);
}

}  // namespace zinniastep
