#include "libzinniastep/gateway/account_usage.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace zinniastep {

namespace {

// Time constant of the usual load, in seconds. Bursts of some seconds must
// change it little even if they begin while there is capacity.
constexpr double kUsualSeconds = 300.0;
// No account is taken to exceed its usual load before this time of learning.
constexpr Duration kLeastLearning = std::chrono::seconds(10);
// Multiple of the usual load that still counts as usual.
constexpr double kUsualMargin = 1.5;
// Requests beyond the usual load that are not counted against an account:
// those of this time, in seconds, and at least the fixed number, since few
// requests arrive unevenly.
constexpr double kBurstSeconds = 2.0;
constexpr double kLeastBurst = 5.0;
// An account that is little known has at least this part of the mean load.
constexpr double kLeastPart = 0.25;
// Requests that each account is credited with when shares are compared, so that
// few requests do not decide them.
constexpr double kPriorRequests = 5.0;
// Accounts above this number are forgotten when they have sent nothing lately.
constexpr std::size_t kMostAccounts = 1024;
constexpr double kNegligibleCount = 0.05;

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

// Returns what is left of a count after a time of learning.
auto Decay(Duration elapsed) -> double {
  return std::exp(-Seconds(elapsed) / kUsualSeconds);
}

}  // namespace

auto AccountUsage::Find(Instant now, const ClientAccountId& id) -> Account& {
  const auto [it, is_new] = accounts_.try_emplace(id);
  Account& account = it->second;
  if (is_new) {
    account.tokens = kLeastBurst;
    account.refilled_at = now;
  }
  account.count *= Decay(learned_ - account.counted_at);
  account.counted_at = learned_;
  return account;
}

auto AccountUsage::DropUnused() -> void {
  std::erase_if(accounts_, [this](const auto& entry) {
    const Account& account = entry.second;
    return account.count * Decay(learned_ - account.counted_at) <
           kNegligibleCount;
  });
}

auto AccountUsage::OnRequest(Instant now,
                             const ClientAccountId& id,
                             bool is_scarce) -> AccountStanding {
  if (!was_scarce_) {
    learned_ += now - last_;
    total_ *= Decay(now - last_);
  }
  last_ = now;
  was_scarce_ = is_scarce;
  if (accounts_.size() >= kMostAccounts && !accounts_.contains(id)) {
    DropUnused();
  }
  Account& account = Find(now, id);
  if (!is_scarce) {
    account.count += 1.0;
    total_ += 1.0;
  }
  // The counts have only grown for `learned_`, so that they are divided by the
  // weight of that time.
  const double weight = kUsualSeconds * (1.0 - Decay(learned_));
  const double mean = total_ / static_cast<double>(accounts_.size());
  AccountStanding standing;
  standing.share = std::max(account.count + kPriorRequests, mean * kLeastPart) /
                   std::max(weight, 1.0);
  const double rate = kUsualMargin *
                      std::max(account.count, mean * kLeastPart) /
                      std::max(weight, 1.0);
  account.tokens =
      std::min(std::max(kLeastBurst, kBurstSeconds * rate),
               account.tokens + rate * Seconds(now - account.refilled_at));
  account.refilled_at = now;
  if (learned_ < kLeastLearning || account.tokens >= 1.0) {
    account.tokens = std::max(0.0, account.tokens - 1.0);
  } else {
    standing.is_beyond_usual = true;
  }
  return standing;
}

}  // namespace zinniastep
