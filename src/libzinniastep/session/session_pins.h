#ifndef LIBZINNIASTEP_SESSION_SESSION_PINS_H_
#define LIBZINNIASTEP_SESSION_SESSION_PINS_H_

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "libzinniastep/base/ids.h"

namespace zinniastep {

// The most models whose version one session can keep.
inline constexpr std::size_t kMostSessionPins = 8;

// The versions that a session keeps: at most one of each model, the latest one
// last.
struct SessionPins {
  SessionId session;
  std::vector<ModelVersion> versions;

  auto operator==(const SessionPins&) const -> bool = default;

  // Returns the version of the model that the session keeps.
  [[nodiscard]] auto Find(std::string_view model) const
      -> std::optional<ModelVersion>;

  // Makes the session keep the version in place of another one of its model.
  // Beyond kMostSessionPins the oldest goes.
  auto Pin(const ModelVersion& version) -> void;

  // Reads or writes the pins with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(session, versions);
  }
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_SESSION_SESSION_PINS_H_
