#include "libzinniastep/gateway/host_registration.h"

namespace zinniastep {

namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(1000);

}  // namespace

auto HostRegistration::IsDue(Instant now, std::uint64_t era) const -> bool {
  return !writing_in_.has_value() && now >= not_before_ &&
         (!written_in_.has_value() || *written_in_ < era);
}

auto HostRegistration::OnWritten(Instant now, WriteOutcome outcome) -> void {
  if (outcome == WriteOutcome::kDone) {
    if (written_in_.has_value()) {
      outbox_.Log("restored_host_registered",
                  {{"era", std::to_string(writing_in_.value_or(0))}});
    }
    written_in_ = writing_in_.value_or(0);
  }
  writing_in_.reset();
  not_before_ = now + kRetryDelay;
}

}  // namespace zinniastep
