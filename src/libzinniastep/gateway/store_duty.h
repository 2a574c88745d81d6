#ifndef LIBZINNIASTEP_GATEWAY_STORE_DUTY_H_
#define LIBZINNIASTEP_GATEWAY_STORE_DUTY_H_

#include <cstddef>
#include <cstdint>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/host_ring.h"
#include "libzinniastep/gateway/messages.h"

namespace zinniastep {

// Decides whether this host reads the store or hears of it from peers that do,
// by who heard from the store last. In a larger fleet some hosts of each region
// read for all, so that calls do not grow with it; when they fall silent,
// others step in one by one.
class StoreDuty {
 public:
  explicit StoreDuty(HostId self);

  auto OnStart(Instant now) -> void;
  // The store answered this host.
  auto OnOwnWord(Instant now) -> void;
  // A peer told who heard from the store last, and how long ago.
  auto OnDigest(Instant now, const HostDigest& digest) -> void;
  // The live hosts, and those of this host's region, are these now.
  auto OnHosts(std::size_t hosts, const HostRing& region) -> void;

  // Returns whether this host reads. `knows_all` is whether it has records of
  // each kind; a host that starts asks its peers for these first.
  [[nodiscard]] auto Reads(Instant now, bool knows_all) const -> bool;

  // Whether the host knows by now how many there are, and what its part is.
  [[nodiscard]] auto IsSettled(Instant now) const -> bool;

  // Whether this host reads for others, and whether another one does so before
  // it.
  [[nodiscard]] auto ReadsForOthers() const -> bool;
  [[nodiscard]] auto StandsBy() const -> bool { return rank_ > 0; }

  // Fills in who heard from the store last, as far as this host knows.
  auto Tell(Instant now, HostDigest& digest) const -> void;

 private:
  HostId self_;
  Instant started_;
  Instant own_word_;
  HostId peers_reader_;
  Instant peers_word_;
  std::size_t hosts_ = 1;
  std::size_t rank_ = 0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_STORE_DUTY_H_
