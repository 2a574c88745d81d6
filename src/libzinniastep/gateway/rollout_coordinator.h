#ifndef LIBZINNIASTEP_GATEWAY_ROLLOUT_COORDINATOR_H_
#define LIBZINNIASTEP_GATEWAY_ROLLOUT_COORDINATOR_H_

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

// Handles roll-outs on this host: sends the evidence of this host's answers to
// the hosts that coordinate a service, merges the progress of peers, and writes
// a roll-out's state when this host is its coordinator.
class RolloutCoordinator {
 public:
  RolloutCoordinator(HostId self, const HostRing& ring, GatewayOutbox& outbox);

  // Replaces the records with the current ones.
  auto OnRecords(Instant now, const std::vector<RolloutRecord>& records)
      -> void;

  // Advances the roll-outs. Returns whether a split changed.
  auto OnTime(Instant now) -> bool;
  // Adds evidence from this host's own answers. Returns whether a split
  // changed.
  auto OnOwnEvidence(Instant now, const std::vector<VersionRow>& rows) -> bool;
  auto OnPeerEvidence(Instant now,
                      Incarnation peer,
                      const std::vector<VersionRow>& rows) -> void;
  // Handles a peer's report that a version has a fault. Returns whether the
  // roll-out was still running, and forwards the report if so.
  auto OnPeerFault(const VersionFault& fault) -> bool;
  // Merges the progress of peers. Returns whether a share changed.
  auto OnPeerProgress(Instant now, const std::vector<RolloutProgress>& progress)
      -> bool;
  auto OnStatusWritten(Instant now,
                       const std::string& rollout,
                       WriteOutcome outcome) -> void;

  [[nodiscard]] auto splits() const -> std::vector<RolloutSplit> {
    return guard_.splits();
  }
  [[nodiscard]] auto progress(Instant now) const
      -> std::vector<RolloutProgress> {
    return guard_.progress(now);
  }

 private:
  struct PendingWrite {
    Instant due_since;
    Instant not_before;
    bool in_progress = false;
  };

  auto Evaluate(Instant now) -> bool;
  auto ShareEvidence(Instant now) -> void;
  auto WriteStatuses(Instant now) -> void;
  // Returns the time between two messages of evidence to a coordinator.
  [[nodiscard]] auto SharePeriod() const -> Duration;

  HostId self_;
  const HostRing& ring_;
  GatewayOutbox& outbox_;
  RolloutGuard guard_;
  EvidencePool evidence_;
  std::map<std::string, PendingWrite> pending_writes_;
  bool evidence_changed_ = false;
  // A target version failed a request after the last message of evidence.
  bool failure_unsent_ = false;
  Instant shared_at_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_ROLLOUT_COORDINATOR_H_
