#include "libzinniastep/gateway/store_era.h"

#include "libzinniastep/base/overloaded.h"

namespace zinniastep {

auto StoreEra::Judge(Instant now, const ReportedEra& reported) -> Verdict {
  return std::visit(
      Overloaded{[](const NoEra&) { return Verdict::kCurrent; },
                 [](const UnreadableEra&) { return Verdict::kUnreadable; },
                 [&](std::uint64_t era) { return JudgeNumber(now, era); }},
      reported);
}

auto StoreEra::JudgeNumber(Instant now, std::uint64_t era) -> Verdict {
  if (era < current_) {
    candidate_.reset();
    if (!earlier_since_.has_value()) {
      earlier_since_ = now;
    }
    return now - *earlier_since_ >= kEarlierEraTrusted
               ? Verdict::kEarlierTrusted
               : Verdict::kEarlier;
  }
  earlier_since_.reset();
  if (era == current_) {
    candidate_.reset();
    return Verdict::kCurrent;
  }
  if (candidate_ != era) {
    candidate_ = era;
    return Verdict::kUnconfirmed;
  }
  candidate_.reset();
  current_ = era;
  return Verdict::kLater;
}

auto StoreEra::OnPeerEra(std::uint64_t era) -> bool {
  if (era <= current_) {
    return false;
  }
  current_ = era;
  candidate_.reset();
  earlier_since_.reset();
  return true;
}

auto IsUsed(StoreEra::Verdict verdict) -> bool {
  switch (verdict) {
    case StoreEra::Verdict::kUnconfirmed:
    case StoreEra::Verdict::kEarlier:
      return false;
    case StoreEra::Verdict::kCurrent:
    case StoreEra::Verdict::kLater:
    case StoreEra::Verdict::kUnreadable:
    case StoreEra::Verdict::kEarlierTrusted:
      return true;
  }
  return false;
}

}  // namespace zinniastep
