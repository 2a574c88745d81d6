#include "libzinniastep/claim/claim_entry.h"

namespace zinniastep {

auto ApplyOutcome(const RequestId& request,
                  ClaimOutcome outcome,
                  ClaimEntry& entry) -> ReportEffect {
  if (entry.request != request || entry.state == ClaimState::kRan) {
    return ReportEffect::kNothing;
  }
  switch (outcome) {
    case ClaimOutcome::kRan:
      entry.state = ClaimState::kRan;
      return ReportEffect::kChanged;
    case ClaimOutcome::kNotRun:
      return ReportEffect::kFreed;
    case ClaimOutcome::kUnknown:
      break;
  }
  if (entry.state == ClaimState::kUnknown) {
    return ReportEffect::kNothing;
  }
  entry.state = ClaimState::kUnknown;
  return ReportEffect::kChanged;
}

auto Judge(const ClaimEntry& entry, const ClaimAsk& ask) -> ClaimAnswer {
  if (entry.body_hash != ask.body_hash) {
    return ClaimAnswer::kReused;
  }
  switch (entry.state) {
    case ClaimState::kRan:
      return ClaimAnswer::kReplayed;
    case ClaimState::kUnknown:
      return ClaimAnswer::kUnknown;
    case ClaimState::kHeld:
      break;
  }
  return entry.request == ask.request ? ClaimAnswer::kGranted
                                      : ClaimAnswer::kWait;
}

}  // namespace zinniastep
