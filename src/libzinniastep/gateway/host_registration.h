#ifndef LIBZINNIASTEP_GATEWAY_HOST_REGISTRATION_H_
#define LIBZINNIASTEP_GATEWAY_HOST_REGISTRATION_H_

#include <cstdint>
#include <optional>

#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/gateway_action.h"
#include "libzinniastep/gateway/gateway_outbox.h"

namespace zinniastep {

// Writes this host's entry to the store: once, and once more in each later era,
// since the copy from which the store was restored may lack it.
class HostRegistration {
 public:
  explicit HostRegistration(GatewayOutbox& outbox) : outbox_(outbox) {}

  // Returns whether to write the entry now. The caller writes it once, and
  // reports the result with OnWritten.
  [[nodiscard]] auto IsDue(Instant now, std::uint64_t era) const -> bool;
  auto OnWriteBegins(std::uint64_t era) -> void { writing_in_ = era; }
  auto OnWritten(Instant now, WriteOutcome outcome) -> void;

 private:
  GatewayOutbox& outbox_;
  // Era known when the current write, or the last successful one, began.
  std::optional<std::uint64_t> writing_in_;
  std::optional<std::uint64_t> written_in_;
  Instant not_before_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_HOST_REGISTRATION_H_
