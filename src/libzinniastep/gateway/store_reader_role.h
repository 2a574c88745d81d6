#ifndef LIBZINNIASTEP_GATEWAY_STORE_READER_ROLE_H_
#define LIBZINNIASTEP_GATEWAY_STORE_READER_ROLE_H_

#include <cstddef>
#include <cstdint>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/host_ring.h"
#include "libzinniastep/gateway/messages.h"

namespace zinniastep {

// Decides whether this host reads the store or receives its records from peers
// that do. The decision depends on which host got the latest answer from the
// store. In a larger fleet some hosts of each region read for all, so that the
// number of calls does not grow with the fleet; when the readers get no more
// answers, other hosts take over one by one.
class StoreReaderRole {
 public:
  explicit StoreReaderRole(HostId self);

  auto OnStart(Instant now) -> void;
  // The store answered this host.
  auto OnStoreAnswer(Instant now) -> void;
  // A peer reported which host got the latest answer from the store, and how
  // long ago.
  auto OnDigest(Instant now, const HostDigest& digest) -> void;
  // Sets the number of live hosts and the ring of those in this host's region.
  auto OnHostsChanged(std::size_t hosts, const HostRing& region) -> void;

  // Returns whether this host should read the store. `has_all_kinds` is whether
  // it has records of each kind; a starting host requests these from its peers
  // first.
  [[nodiscard]] auto ShouldRead(Instant now, bool has_all_kinds) const -> bool;

  // Returns whether the host has run long enough to have met its peers, so that
  // the number of hosts and its own rank are reliable.
  [[nodiscard]] auto IsSettled(Instant now) const -> bool;

  // Returns whether the fleet is so large that readers read for other hosts.
  [[nodiscard]] auto ReadsForOthers() const -> bool;
  // Returns how many of the region's readers rank before this one, where some
  // read for others. Hosts that took over share the place behind the readers.
  [[nodiscard]] auto order() const -> std::size_t;
  // Returns whether another host of the region ranks before this one.
  [[nodiscard]] auto IsStandby() const -> bool { return rank_ > 0; }

  // Sets the host that got the latest store answer known to this host, and the
  // answer's age.
  auto FillDigest(Instant now, HostDigest& digest) const -> void;

 private:
  HostId self_;
  Instant started_;
  Instant own_answer_at_;
  HostId peer_reader_;
  Instant peer_answer_at_;
  std::size_t hosts_ = 1;
  std::size_t rank_ = 0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_STORE_READER_ROLE_H_
