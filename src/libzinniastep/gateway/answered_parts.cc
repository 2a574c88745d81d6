#include "libzinniastep/gateway/answered_parts.h"

#include <algorithm>
#include <vector>

namespace zinniastep {

namespace {

constexpr std::size_t kMaxParts = 4096;

}  // namespace

auto AnsweredParts::Record(Instant now, std::span<const PromptPartId> parts)
    -> void {
  for (const PromptPartId part : parts) {
    times_[part] = now;
  }
  if (times_.size() > kMaxParts) {
    DropOldest();
  }
}

// Drops half of the parts, so that the cost of finding them is rare.
auto AnsweredParts::DropOldest() -> void {
  std::vector<Instant> times;
  times.reserve(times_.size());
  for (const auto& [part, time] : times_) {
    times.push_back(time);
  }
  const auto middle =
      times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::ranges::nth_element(times, middle);
  const Instant limit = *middle;
  std::erase_if(times_,
                [limit](const auto& item) { return item.second <= limit; });
}

auto AnsweredParts::Find(PromptPartId part) const -> std::optional<Instant> {
  const auto found = times_.find(part);
  return found == times_.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace zinniastep
