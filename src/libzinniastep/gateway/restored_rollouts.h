#ifndef LIBZINNIASTEP_GATEWAY_RESTORED_ROLLOUTS_H_
#define LIBZINNIASTEP_GATEWAY_RESTORED_ROLLOUTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libzinniastep/gateway/rollout_guard.h"

namespace zinniastep {

// Joins the roll-outs that a restored store shows with those that are kept
// against its copy. A roll-out that is written again under its name with the
// same service and target is the order from before: its verdict and its
// sessions' versions stay, although the store counts it as a new object.
class RestoredRollouts {
 public:
  // Returns the roll-outs in effect.
  auto Merge(std::vector<RolloutRecord> shown,
             const std::vector<RolloutRecord>& kept)
      -> std::vector<RolloutRecord>;

 private:
  // What an order that was written again continues.
  struct Continued {
    ServiceId service;
    std::string target_version;
    // Revision at which the order from before was created.
    std::uint64_t created = 0;
    // Its verdict, if the store had acknowledged one.
    std::optional<RolloutState> settled;
  };

  auto Continue(const RolloutRecord& shown, const RolloutRecord& kept) -> void;
  // Gives a record the identity and verdict of the order that it continues.
  auto Translate(RolloutRecord& record) const -> void;

  // By name and creation in the store. Grows by the roll-outs of a restore.
  std::map<std::pair<std::string, std::uint64_t>, Continued> continued_;
  // What was kept at the last call, by name.
  std::map<std::string, RolloutRecord> last_kept_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_RESTORED_ROLLOUTS_H_
