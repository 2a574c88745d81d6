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

// A roll-out as recorded in the store.
struct RolloutRecord {
  std::string name;
  // The store's revision of the record, for a conditional write.
  std::uint64_t revision = 0;
  // The store's revision at the creation of the record; identifies the order.
  std::uint64_t created = 0;
  RolloutOrder order;
  // State that the system has written into the record, if any.
  std::optional<RolloutState> state;
  // Target version that the state refers to.
  std::string state_target;
  // A verdict that the store acknowledged and lost when it was restored.
  std::optional<RolloutState> settled = std::nullopt;
  // Whether the store has the record, so that a state can be written into it.
  bool in_store = true;
};

// A state that has to be written into a roll-out's record.
struct RolloutStatusWrite {
  std::string name;
  std::uint64_t revision = 0;
  std::string target_version;
  RolloutState state = RolloutState::kRunning;
  std::string reason;
  // The record had this state before the store was restored from a copy.
  bool is_again = false;
};

// Whether sends whose answer has not begun count as evidence.
enum class OpenSends : std::uint8_t { kLeftOut, kIncluded };

// What is wrong with a version.
struct TargetFault {
  enum class Kind : std::uint8_t { kFailures, kSlow };
  Kind kind = Kind::kFailures;
  // The fault, and the route if it shows on one route only.
  std::string text;
};

// Returns why the version is worse than the others of its service, or nullopt
// if no fault is found.
[[nodiscard]] auto FindVersionFault(const VersionEvidence& evidence,
                                    const ServiceId& service,
                                    const std::string& version)
    -> std::optional<TargetFault>;

// Moves a service's traffic to a new version as long as the evidence supports
// that version. During the first half of a roll-out all sessions stay on the
// versions before; in the second half the share of sessions that use the target
// grows from a small one to all. No session moves back unless the target shows
// a fault, which reverts the roll-out at once. A verdict (complete or reverted)
// is final for the order.
class RolloutGuard {
 public:
  // Replaces the records with the current ones.
  auto Update(Instant now, const std::vector<RolloutRecord>& records) -> void;

  // Advances the stages and evaluates the known evidence of all hosts.
  // Returns whether a split or a verdict changed.
  auto Evaluate(Instant now, const VersionEvidence& evidence) -> bool;

  // Reverts the roll-out for which a peer reported a fault. Returns whether it
  // was still running.
  auto OnPeerVerdict(const ServiceId& service,
                     const std::string& target_version,
                     std::uint64_t order) -> bool;

  // Adopts a peer's elapsed time and shares where they are ahead, so that a
  // restarted host does not begin the roll-out again. Returns whether a share
  // changed, which other peers should then receive.
  auto OnPeerProgress(Instant now, const RolloutProgress& progress) -> bool;

  // Returns the progress of this host in the running roll-outs.
  [[nodiscard]] auto progress(Instant now) const
      -> std::vector<RolloutProgress>;

  // Returns the splits in effect, including those of reverted roll-outs.
  [[nodiscard]] auto splits() const -> std::vector<RolloutSplit>;

  // Returns the states that the records lack. Only the host that coordinates
  // the service writes them.
  [[nodiscard]] auto DueWrites() const -> std::vector<RolloutStatusWrite>;

  // Returns whether any roll-out is running.
  [[nodiscard]] auto IsRunning() const -> bool;

 private:
  // A slow target, and the evidence by which it first seemed so.
  struct Suspicion {
    Instant since;
    VersionEvidence evidence;
  };
  struct Rollout {
    RolloutRecord record;
    Instant started_at;
    double share = 0.0;
    // Share that takes effect `next_at` after `started_at`; at least `share`.
    double next_share = 0.0;
    Duration next_at{0};
    RolloutState state = RolloutState::kRunning;
    std::string reason;
    // The last state that the record had.
    std::optional<RolloutState> recorded;
    // Set while the target seems slow and no session uses another version.
    std::optional<Suspicion> suspicion;
  };

  // Whether a target that seems slow is to be reverted now. With all sessions
  // on the target, answers since the first sign must be slow as well.
  static auto IsConfirmed(Instant now,
                          const VersionEvidence& evidence,
                          OpenSends open_sends,
                          Rollout& rollout) -> bool;
  auto Advance(Instant now, const VersionEvidence& evidence, Rollout& rollout)
      -> void;

  std::map<std::string, Rollout> rollouts_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_ROLLOUT_GUARD_H_
