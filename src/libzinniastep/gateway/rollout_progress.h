#ifndef LIBZINNIASTEP_GATEWAY_ROLLOUT_PROGRESS_H_
#define LIBZINNIASTEP_GATEWAY_ROLLOUT_PROGRESS_H_

#include <cstdint>
#include <string>

#include "libzinniastep/base/ids.h"

namespace zinniastep {

// How far a host is with a roll-out, as hosts tell each other.
struct RolloutProgress {
  ServiceId service;
  std::string target_version;
  std::uint64_t order = 0;
  // Since the order was first seen by any host.
  std::uint64_t elapsed_ms = 0;
  // Part of the sessions that use the target, and the part that will from a
  // time after the order on. Hosts are told ahead, so that they change
  // together and no session meets two versions.
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
