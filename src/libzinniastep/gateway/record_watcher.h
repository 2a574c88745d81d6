#ifndef LIBZINNIASTEP_GATEWAY_RECORD_WATCHER_H_
#define LIBZINNIASTEP_GATEWAY_RECORD_WATCHER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libzinniastep/base/random.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/record_mirror.h"
#include "libzinniastep/gateway/store_era.h"
#include "libzinniastep/gateway/watch_pace.h"

namespace zinniastep {

// Reads a page of a kind's objects, after a name.
struct ListRecords {
  RecordKind kind = RecordKind::kConfiguration;
  std::string after;
  Duration timeout{0};
};

// Waits for changes of a kind after a revision.
struct WatchRecords {
  RecordKind kind = RecordKind::kConfiguration;
  std::uint64_t after = 0;
  Duration wait{0};
  Duration timeout{0};
};

using RecordRead = std::variant<ListRecords, WatchRecords>;

// An object that could not be read, as far as it could.
struct UnreadableRecord {
  // Empty if the name could not be read either.
  std::string name;
  std::string reason;
};

// A page of a kind's objects.
struct RecordPage {
  std::vector<StoredRecord> records;
  bool has_more = false;
  std::uint64_t as_of = 0;
  // Name of the last object on the page if it is not among the records: the
  // next page begins after it.
  std::string last_name = {};
  std::vector<UnreadableRecord> unreadable = {};
  ReportedEra era = {};
};

// Changes of a kind up to a revision; empty if none came during the wait.
struct RecordChanges {
  std::vector<RecordChange> changes;
  std::uint64_t as_of = 0;
  std::vector<UnreadableRecord> unreadable = {};
  ReportedEra era = {};
};

// The store has no changes since the requested revision: they are too old, or
// the store was restored from a copy of before.
struct HistoryGone {
  ReportedEra era = {};
};

// The store could not be reached or rejected the read.
struct ReadFailed {
  // Whether any answer came; without one the connection may be broken.
  bool answered = false;
  // Whether the read was a watch.
  bool is_watch = false;
};

using RecordReadResult =
    std::variant<RecordPage, RecordChanges, HistoryGone, ReadFailed>;

// Returns what the answer says about the store's era.
[[nodiscard]] auto EraOf(const RecordReadResult& result) -> ReportedEra;

// Wait times, timeouts and pauses for reading one kind.
struct WatcherLimits {
  // Each watch waits for a random time between these. A watch may lose a
  // change, which the next one finds, and watches of hosts that heard of the
  // same change end at different times.
  Duration shortest_wait = std::chrono::seconds(6);
  Duration longest_wait = std::chrono::seconds(6);
  // A watch without an answer is aborted this long after its wait.
  Duration watch_slack = std::chrono::milliseconds(1500);
  // A list is aborted after the first timeout, doubled with each failure in a
  // row up to the longest: a working store answers within some milliseconds,
  // and one that recovers does not answer requests from before.
  Duration first_list_timeout = std::chrono::milliseconds(300);
  Duration longest_list_timeout = std::chrono::milliseconds(1500);
  // Pause after changes, so that one call returns changes in quick succession.
  // Well below the time within which any change must be in effect.
  Duration batch_pause{0};
  // Pause after a failure, doubled with each one in a row.
  Duration first_pause = std::chrono::milliseconds(100);
  Duration longest_pause = std::chrono::milliseconds(1000);
};

// Follows one kind of the store's objects: one list, then one watch at a time.
// Each failure leads to a pause with jitter; lost history, lost connections and
// answers of another era than the list's lead to a new list.
class RecordWatcher {
 public:
  RecordWatcher(RecordKind kind, WatcherLimits limits, std::uint64_t seed);

  // Returns the read to make now, if any; the caller makes it once. Without
  // `may_watch`, returns only a list that has not been completed yet.
  [[nodiscard]] auto NextRead(Instant now, bool may_watch = true)
      -> std::optional<RecordRead>;

  // Waits at least `pause` after changes before the next watch.
  auto SetPause(Duration pause) -> void { least_pause_ = pause; }

  // Sets how long the next watches wait.
  auto SetWaits(const WatchPace& pace) -> void {
    limits_.shortest_wait = pace.shortest_wait;
    limits_.longest_wait = pace.longest_wait;
  }

  // Handles the result of the current read, which is of the store's era `era`.
  // Returns the full state when the last page of a list has arrived.
  auto OnResult(Instant now,
                const RecordReadResult& result,
                std::uint64_t era = 0) -> std::optional<RecordSnapshot>;

  // The result of the current read is not used: reads a list after a pause.
  auto OnUnused(Instant now, const RecordReadResult& result) -> void;

  // The store is of a later era than the list, if that is so: reads a list
  // instead of waiting for the end of the current watch, whose result is
  // ignored.
  auto OnEra(Instant now, std::uint64_t era) -> void;

  // Returns whether the result is that of a watch which was given up, or of a
  // list that was read twice.
  [[nodiscard]] auto IsStray(const RecordReadResult& result) const -> bool;

  // Returns whether the current read is a watch that follows a list of the era.
  [[nodiscard]] auto IsWatchOf(std::uint64_t era) const -> bool {
    return !listing_ && era == era_;
  }

  // Returns how long the current read has taken; zero without one.
  [[nodiscard]] auto ReadTime(Instant now) const -> Duration {
    return reading_ ? now - read_began_ : Duration(0);
  }

  // Returns the revision up to which the kind was read.
  [[nodiscard]] auto as_of() const -> std::uint64_t { return as_of_; }
  [[nodiscard]] auto failures_in_row() const -> std::uint32_t {
    return failures_;
  }

 private:
  auto Take(Instant now, const RecordPage& page, std::uint64_t era)
      -> std::optional<RecordSnapshot>;
  auto ListAgain(Instant now) -> void;
  auto Pause(Instant now) -> void;

  RecordKind kind_;
  WatcherLimits limits_;
  Random random_;
  bool reading_ = false;
  Instant read_began_;
  bool listing_ = true;
  std::uint64_t as_of_ = 0;
  // Era of the current list, and of the watches that follow it.
  std::uint64_t era_ = 0;
  std::uint32_t failures_ = 0;
  Instant not_before_;
  Duration least_pause_{0};
  RecordSnapshot pages_;
  // The next page begins after this name.
  std::string after_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_RECORD_WATCHER_H_
