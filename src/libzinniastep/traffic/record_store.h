#ifndef LIBZINNIASTEP_TRAFFIC_RECORD_STORE_H_
#define LIBZINNIASTEP_TRAFFIC_RECORD_STORE_H_

#include <functional>

#include "libzinniastep/core/event.h"
#include "libzinniastep/core/host_identity.h"
#include "libzinniastep/gateway/gateway_core.h"
#include "libzinniastep/gateway/record_watcher.h"
#include "libzinniastep/gateway/rollout_guard.h"

namespace zinniastep {

// The platform's store. Each call reports once, on any thread.
class RecordStore {
 public:
  using ReadDone = std::function<void(RecordReadResult)>;
  using WriteDone = std::function<void(WriteOutcome)>;
  using HostsDone = std::function<void(HostListRead)>;

  RecordStore() = default;
  RecordStore(const RecordStore&) = delete;
  auto operator=(const RecordStore&) -> RecordStore& = delete;
  virtual ~RecordStore() = default;

  virtual auto List(const ListRecords& read, ReadDone done) -> void = 0;
  virtual auto Watch(const WatchRecords& read, ReadDone done) -> void = 0;
  virtual auto WriteStatus(const RolloutStatusWrite& write, WriteDone done)
      -> void = 0;
  virtual auto Register(const HostIdentity& host, WriteDone done) -> void = 0;
  // Reports nothing when the list cannot be had.
  virtual auto ReadHosts(HostsDone done) -> void = 0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_TRAFFIC_RECORD_STORE_H_
