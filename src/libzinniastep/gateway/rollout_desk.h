#ifndef LIBZINNIASTEP_GATEWAY_ROLLOUT_DESK_H_
#define LIBZINNIASTEP_GATEWAY_ROLLOUT_DESK_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libzinniastep/core/host_identity.h"
#include "libzinniastep/gateway/evidence_pool.h"
#include "libzinniastep/gateway/gateway_outbox.h"
#include "libzinniastep/gateway/host_ring.h"
#include "libzinniastep/gateway/rollout_guard.h"

namespace zinniastep {

// This host's part in roll-outs: it tells those that speak for a service what
// its answers showed, hears how far others are, and writes a roll-out's state
// when it is this host's turn to speak.
class RolloutDesk {
 public:
  RolloutDesk(HostId self, const HostRing& ring, GatewayOutbox& outbox);

  // Takes the records as they are now.
  auto OnRecords(Instant now, const std::vector<RolloutRecord>& records)
      -> void;

  // Moves roll-outs on. Returns whether a split changed.
  auto OnTime(Instant now) -> bool;
  // Adds what this host's own answers showed. Returns whether a split changed.
  auto OnOwnEvidence(Instant now, const std::vector<VersionRow>& rows) -> bool;
  auto OnPeerEvidence(Instant now,
                      Incarnation peer,
                      const std::vector<VersionRow>& rows) -> void;
  // A peer's word that a version has a fault. Returns whether it was news.
  auto OnPeerFault(const VersionFault& fault) -> bool;
  // How far peers are. Returns whether it was news.
  auto OnPeerProgress(Instant now, const std::vector<RolloutProgress>& progress)
      -> bool;
  auto OnStatusWritten(Instant now,
                       const std::string& rollout,
                       WriteOutcome outcome) -> void;

  [[nodiscard]] auto splits() const -> std::vector<RolloutSplit> {
    return rollouts_.splits();
  }
  [[nodiscard]] auto progress(Instant now) const
      -> std::vector<RolloutProgress> {
    return rollouts_.progress(now);
  }

 private:
  struct PendingWrite {
    Instant due_since;
    Instant not_before;
    bool under_way = false;
  };

  auto Judge(Instant now) -> bool;
  auto ShareEvidence(Instant now) -> void;
  auto WriteStatuses(Instant now) -> void;
  // How long this host waits between two messages to a speaker.
  [[nodiscard]] auto SharePeriod() const -> Duration;

  HostId self_;
  const HostRing& ring_;
  GatewayOutbox& outbox_;
  RolloutGuard rollouts_;
  EvidencePool evidence_;
  std::map<std::string, PendingWrite> pending_writes_;
  bool evidence_changed_ = false;
  // A target failed a request since the speakers were told last.
  bool failure_untold_ = false;
  Instant shared_at_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_ROLLOUT_DESK_H_
