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

namespace zinniastep {

// Read a page of a kind's objects, after a name.
struct ListRecords {
  RecordKind kind = RecordKind::kConfiguration;
  std::string after;
  Duration timeout{0};
};

// Wait for changes of a kind after a revision.
struct WatchRecords {
  RecordKind kind = RecordKind::kConfiguration;
  std::uint64_t after = 0;
  Duration wait{0};
  Duration timeout{0};
};

using RecordRead = std::variant<ListRecords, WatchRecords>;

// A page of a kind's objects.
struct RecordPage {
  std::vector<StoredRecord> records;
  bool has_more = false;
  std::uint64_t as_of = 0;
};

// Changes of a kind up to a revision; none when the wait ended without.
struct RecordChanges {
  std::vector<RecordChange> changes;
  std::uint64_t as_of = 0;
};

// The store no longer has the history from the revision on.
struct HistoryGone {};

// The store could not be reached or would not serve.
struct ReadFailed {
  // Whether an answer came at all; without one the connection is suspect.
  bool answered = false;
};

using RecordReadResult =
    std::variant<RecordPage, RecordChanges, HistoryGone, ReadFailed>;

// How a kind is read.
struct WatcherLimits {
  // Longest wait of one watch. Each is a priced call, and tells the fleet that
  // the store is there.
  Duration watch_wait = std::chrono::seconds(6);
  // A waiting watch is cut this long after its wait.
  Duration watch_slack = std::chrono::milliseconds(1500);
  // A list is cut after the first time-out, doubled with each failure in a row
  // up to the longest: a store that works answers within some milliseconds, and
  // one that comes back does not answer what it was asked before.
  Duration first_list_timeout = std::chrono::milliseconds(300);
  Duration longest_list_timeout = std::chrono::milliseconds(1500);
  // Pause after changes came, so that those in quick succession come with one
  // call. Well below what any change may take.
  Duration batch_pause{0};
  // Pause after a failure, doubled with each one in a row.
  Duration first_pause = std::chrono::milliseconds(100);
  Duration longest_pause = std::chrono::milliseconds(1000);
};

// Keeps one kind of the store's objects read: one list, then one waiting watch
// at a time. Each failure leads to a pause with jitter; lost history and lost
// connections lead to a new list.
class RecordWatcher {
 public:
  RecordWatcher(RecordKind kind, WatcherLimits limits, std::uint64_t seed);

  // Returns the read to make now, if any; the caller makes it once. Without
  // `may_watch` it is only a list that is still owed.
  [[nodiscard]] auto NextRead(Instant now, bool may_watch = true)
      -> std::optional<RecordRead>;

  // Lets changes collect for at least `pause` before the next watch, which ends
  // after `wait` without one.
  auto SetPace(Duration pause, Duration wait) -> void {
    least_pause_ = pause;
    limits_.watch_wait = wait;
  }

  // Takes the result of the read under way. Returns a whole state when the
  // last page of a list came.
  auto OnResult(Instant now, const RecordReadResult& result)
      -> std::optional<RecordSnapshot>;

  // Returns the revision up to which the kind was read.
  [[nodiscard]] auto as_of() const -> std::uint64_t { return as_of_; }
  [[nodiscard]] auto failures_in_row() const -> std::uint32_t {
    return failures_;
  }

 private:
  auto Take(Instant now, const RecordPage& page)
      -> std::optional<RecordSnapshot>;
  auto Pause(Instant now) -> void;

  RecordKind kind_;
  WatcherLimits limits_;
  Random random_;
  bool reading_ = false;
  bool listing_ = true;
  std::uint64_t as_of_ = 0;
  std::uint32_t failures_ = 0;
  Instant not_before_;
  Duration least_pause_{0};
  RecordSnapshot pages_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_RECORD_WATCHER_H_
