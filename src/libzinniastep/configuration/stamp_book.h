#ifndef LIBZINNIASTEP_CONFIGURATION_STAMP_BOOK_H_
#define LIBZINNIASTEP_CONFIGURATION_STAMP_BOOK_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/configuration/messages.h"

namespace zinniastep {

// Issues the stamps that messages carry and remembers when, so that an echoed
// stamp bounds a message's age on this host's own clock. Also keeps the last
// stamp of each peer, to be echoed.
class StampBook {
 public:
  // `first` must differ between two runs of a process.
  explicit StampBook(std::uint64_t first) : next_(first | 1U) {}

  // Returns the stamps for a message to the peer. Calls shortly after each
  // other give the same stamp, which makes ages a little larger.
  auto For(const HostId& peer, Instant now) -> StampPair;

  // Keeps the peer's stamp and returns when this host issued the echoed one,
  // or nothing when it does not remember it.
  auto Receive(const HostId& peer, const StampPair& stamps)
      -> std::optional<Instant>;

  // Forgets the stamps of all peers but these.
  auto KeepOnly(const std::set<HostId>& peers) -> void;

 private:
  struct Issued {
    std::uint64_t stamp = 0;
    Instant at;
  };

  static constexpr std::size_t kRemembered = 128;
  static constexpr Duration kReuse = std::chrono::milliseconds(100);

  std::uint64_t next_;
  std::array<Issued, kRemembered> issued_{};
  std::size_t last_ = 0;
  std::map<HostId, std::uint64_t> peer_stamps_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_STAMP_BOOK_H_
