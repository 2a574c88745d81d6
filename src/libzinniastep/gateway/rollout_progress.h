#ifndef LIBZINNIASTEP_GATEWAY_ROLLOUT_PROGRESS_H_
#define LIBZINNIASTEP_GATEWAY_ROLLOUT_PROGRESS_H_

#include <cstdint>
#include <string>

#include "libzinniastep/base/ids.h"

namespace zinniastep {

// Progress of a host in a roll-out, as exchanged between hosts.
struct RolloutProgress {
  ServiceId service;
  std::string target_version;
  std::uint64_t order = 0;
  // Time since the order was first read by any host.
  std::uint64_t elapsed_ms = 0;
  // Share of the sessions that use the target, and the share that takes effect
  // `next_at_ms` after the order. The next share is sent ahead, so that hosts
  // change together and no session uses two versions.
  double share = 0.0;
  double next_share = 0.0;
  std::uint64_t next_at_ms = 0;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(service, target_version, order, elapsed_ms, share, next_share,
            next_at_ms);
  }
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_ROLLOUT_PROGRESS_H_
