#ifndef LIBZINNIASTEP_GATEWAY_STORE_FOLLOWER_H_
#define LIBZINNIASTEP_GATEWAY_STORE_FOLLOWER_H_

#include <array>
#include <cstdint>
#include <vector>

#include "libzinniastep/base/random.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/gateway_outbox.h"
#include "libzinniastep/gateway/gateway_settings.h"
#include "libzinniastep/gateway/kept_records.h"
#include "libzinniastep/gateway/record_mirror.h"
#include "libzinniastep/gateway/record_watcher.h"
#include "libzinniastep/gateway/store_era.h"
#include "libzinniastep/gateway/watch_pace.h"

namespace zinniastep {

// Reads the store's objects of all kinds into the mirror, and follows the
// store's era. The mirror, the kept records and the outbox must outlive it.
class StoreFollower {
 public:
  StoreFollower(const GatewaySettings& settings,
                Random& random,
                RecordMirror& mirror,
                KeptRecords& kept,
                GatewayOutbox& outbox);

  // Adds the reads that are due to the outbox. Without `may_watch`, only lists
  // that have not been completed yet.
  auto StartReads(Instant now, bool may_watch) -> void;

  // Sets whether this host reads the store for itself alone, or for others too
  // and how many readers of its region rank before it.
  auto ReadForSelf() -> void;
  auto ReadForOthers(std::size_t order) -> void;

  // Waits at least `pause` after changes of a kind before the next watch.
  auto SetPause(RecordKind kind, Duration pause) -> void;

  // Handles the result of a read. Returns whether the objects changed.
  auto OnRead(Instant now, RecordKind kind, const RecordReadResult& result)
      -> bool;

  // A peer holds a state of this era.
  auto OnPeerEra(Instant now, std::uint64_t era) -> void;

  // Returns the store's era as far as it is known.
  [[nodiscard]] auto era() const -> std::uint64_t { return era_.current(); }

 private:
  // Decides whether an answer is used, and logs what is unusual about its era.
  auto Accept(Instant now, RecordKind kind, const RecordReadResult& result)
      -> bool;
  auto OnLaterEra(Instant now) -> void;
  // Logs a watch that ended without saying what changed while it waited.
  auto LogLostWatch(Instant now,
                    RecordKind kind,
                    const RecordReadResult& result) -> void;
  [[nodiscard]] auto At(RecordKind kind) -> RecordWatcher&;

  // When a change of each kind has to be in effect.
  std::array<Duration, kRecordKinds> times_;
  RecordMirror& mirror_;
  KeptRecords& kept_;
  GatewayOutbox& outbox_;
  StoreEra era_;
  std::vector<RecordWatcher> watchers_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_STORE_FOLLOWER_H_
