#ifndef LIBZINNIASTEP_GATEWAY_ANSWERED_PARTS_H_
#define LIBZINNIASTEP_GATEWAY_ANSWERED_PARTS_H_

#include <cstddef>
#include <optional>
#include <span>
#include <unordered_map>

#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/prompt_part.h"

namespace zinniastep {

// When prompt parts were last answered at this host. Holds a bounded number of
// parts; the ones that were answered longest ago are dropped.
class AnsweredParts {
 public:
  auto Record(Instant now, std::span<const PromptPartId> parts) -> void;

  // Returns nothing for a part that was not answered, or too long ago.
  [[nodiscard]] auto Find(PromptPartId part) const -> std::optional<Instant>;

  [[nodiscard]] auto size() const -> std::size_t { return times_.size(); }

 private:
  auto DropOldest() -> void;

  std::unordered_map<PromptPartId, Instant> times_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_ANSWERED_PARTS_H_
