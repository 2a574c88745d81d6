#include "libzinniastep/session/session_pins.h"

#include <algorithm>

namespace zinniastep {

auto SessionPins::Find(std::string_view model) const
    -> std::optional<ModelVersion> {
  const auto found = std::ranges::find(versions, model, &ModelVersion::model);
  return found == versions.end() ? std::nullopt : std::optional(*found);
}

auto SessionPins::Pin(const ModelVersion& version) -> void {
  std::erase_if(versions, [&version](const ModelVersion& kept) {
    return kept.model == version.model;
  });
  if (versions.size() >= kMostSessionPins) {
    versions.erase(versions.begin());
  }
  versions.push_back(version);
}

}  // namespace zinniastep
