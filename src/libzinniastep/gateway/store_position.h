#ifndef LIBZINNIASTEP_GATEWAY_STORE_POSITION_H_
#define LIBZINNIASTEP_GATEWAY_STORE_POSITION_H_

#include <compare>
#include <cstdint>
#include <string>

namespace zinniastep {

// A state of the store: the revision within an era. The era rises when the
// store returns from a copy, after which revisions are used again, so a state
// of a later era is newer whatever its revision. Stores that report no era are
// in era 0.
struct StorePosition {
  std::uint64_t era = 0;
  std::uint64_t revision = 0;

  constexpr StorePosition() = default;
  // A revision alone is one of a store that reports no era.
  // NOLINTNEXTLINE(google-explicit-constructor)
  constexpr StorePosition(std::uint64_t of_revision) : revision(of_revision) {}
  constexpr StorePosition(std::uint64_t of_era, std::uint64_t of_revision)
      : era(of_era), revision(of_revision) {}

  auto operator<=>(const StorePosition&) const = default;

  // "REVISION", or "ERA.REVISION" of a store that reports eras.
  [[nodiscard]] auto text() const -> std::string {
    return era == 0 ? std::to_string(revision)
                    : std::to_string(era) + "." + std::to_string(revision);
  }

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(era, revision);
  }
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_STORE_POSITION_H_
