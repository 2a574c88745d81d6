#ifndef LIBZINNIASTEP_GATEWAY_ROLLOUT_GUARD_H_
#define LIBZINNIASTEP_GATEWAY_ROLLOUT_GUARD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/backend_entry.h"
#include "libzinniastep/gateway/rollout_progress.h"
#include "libzinniastep/gateway/version_evidence.h"

namespace zinniastep {

// A roll-out as the store holds it.
struct RolloutRecord {
  std::string name;
  // The store's revision of the record, for a conditional write.
  std::uint64_t revision = 0;
  // The store's revision at its creation: names the order.
  std::uint64_t created = 0;
  RolloutOrder order;
  // What the system has said of it, if anything.
  std::optional<RolloutState> state;
  // The target that the state speaks of.
  std::string state_target;
};

// A state that has to be written into a roll-out's record.
struct RolloutStatusWrite {
  std::string name;
  std::uint64_t revision = 0;
  std::string target_version;
  RolloutState state = RolloutState::kRunning;
  std::string reason;
};

// Moves a service's traffic to a new version while evidence speaks for it.
// During the first half of a roll-out all sessions stay where they are; in the
// second half the part that uses the target grows from a few to all of them.
// No session returns, unless the target shows a fault, which takes it out at
// once. A verdict is final for the order.
class RolloutGuard {
 public:
  // Takes the records as they are now.
  auto Update(Instant now, const std::vector<RolloutRecord>& records) -> void;

  // Moves the stages on and looks at the evidence of all hosts that is known.
  // Returns whether a split or a verdict changed.
  auto Judge(Instant now, const VersionEvidence& evidence) -> bool;

  // A peer's word that a version has a fault.
  auto OnPeerVerdict(const ServiceId& service,
                     const std::string& target_version,
                     std::uint64_t order) -> bool;

  // Takes over a peer's time and shares where they are ahead, so that a host
  // that was restarted meanwhile does not begin anew. Returns whether that was
  // news, which other peers should hear.
  auto OnPeerProgress(Instant now, const RolloutProgress& progress) -> bool;

  // Returns how far this host is with the roll-outs under way.
  [[nodiscard]] auto progress(Instant now) const
      -> std::vector<RolloutProgress>;

  // Returns the splits in force, also for versions that were taken back.
  [[nodiscard]] auto splits() const -> std::vector<RolloutSplit>;

  // Returns what the records should say and do not. Only the host that speaks
  // for the service writes it.
  [[nodiscard]] auto DueWrites() const -> std::vector<RolloutStatusWrite>;

  // Whether any roll-out is under way.
  [[nodiscard]] auto IsRunning() const -> bool;

 private:
  struct Rollout {
    RolloutRecord record;
    Instant began;
    double share = 0.0;
    // The part in force from a time after `began` on; no less than `share`.
    double next_share = 0.0;
    Duration next_at{0};
    RolloutState state = RolloutState::kRunning;
    std::string reason;
  };

  auto Advance(Instant now, const VersionEvidence& evidence, Rollout& rollout)
      -> void;

  std::map<std::string, Rollout> rollouts_;
};

// Returns why the version is worse than the others of its service, or nothing.
[[nodiscard]] auto FindVersionFault(const VersionEvidence& evidence,
                                    const ServiceId& service,
                                    const std::string& version)
    -> std::optional<std::string>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_ROLLOUT_GUARD_H_
