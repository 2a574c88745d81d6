#include "libzinniastep/gateway/ending_watch.h"

#include <utility>

namespace zinniastep {

namespace {

// Unanswered sends that are kept of one ending.
constexpr std::size_t kMaxUnanswered = 32;

}  // namespace

auto ToString(ProbeResult result) -> std::string_view {
  switch (result) {
    case ProbeResult::kAccepted:
      return "accepted";
    case ProbeResult::kRefused:
      return "refused";
    case ProbeResult::kNoAnswer:
      return "no_answer";
  }
  return "unknown";
}

auto EndingWatch::OnBroken(const BackendServerId& server,
                           std::optional<UnansweredSend> unanswered) -> bool {
  const auto [entry, is_new] = probed_.try_emplace(server);
  BrokenSends& broken = entry->second;
  if (!unanswered.has_value()) {
    ++broken.answered;
  } else if (broken.unanswered.size() < kMaxUnanswered) {
    broken.unanswered.push_back(*std::move(unanswered));
  }
  return is_new;
}

auto EndingWatch::OnProbe(const BackendServerId& server, ProbeResult result)
    -> std::optional<BrokenSends> {
  const auto found = probed_.find(server);
  if (found == probed_.end()) {
    return std::nullopt;
  }
  BrokenSends broken = std::move(found->second);
  probed_.erase(found);
  if (result != ProbeResult::kRefused) {
    return std::nullopt;
  }
  return broken;
}

}  // namespace zinniastep
