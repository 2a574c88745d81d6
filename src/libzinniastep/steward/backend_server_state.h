#ifndef LIBZINNIASTEP_STEWARD_BACKEND_SERVER_STATE_H_
#define LIBZINNIASTEP_STEWARD_BACKEND_SERVER_STATE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/configuration/document.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/steward/credit_ask.h"
#include "libzinniastep/steward/steward_settings.h"

namespace zinniastep {

// What a steward knows of one backend server: whether it is warm, how much it
// bears, and how much it runs. It is cold until a report of the same
// incarnation shows it warm, and cold again at the first sign against that.
class BackendServerState {
 public:
  // Reports sent for before `ready_from` do not show what earlier stewards'
  // credits have started; nothing is granted before a later one.
  BackendServerState(BackendServerRule rule,
                     const StewardSettings& settings,
                     Instant ready_from);

  // Takes over a changed roster entry.
  auto OnRule(const BackendServerRule& rule) -> void;

  // Takes in an answered poll that was sent at `polled`.
  auto OnReport(Instant now, Instant polled, const LoadReport& report) -> void;

  // Takes in the result of one attempt.
  auto OnOutcome(Instant now, const CreditOutcome& outcome) -> void;

  // Counts credits that were granted, and one that came back or expired.
  auto Granted(std::uint32_t count) -> void { outstanding_ += count; }
  auto Released() -> void;

  // Waits for a report that is sent for at `ready_from` or later.
  auto AwaitReport(Instant ready_from) -> void;

  // Takes over from earlier stewards that stopped with `count` requests at the
  // server.
  auto Inherit(Instant now, std::uint32_t count) -> void;

  // Adds credits that an earlier steward still had when this one already
  // granted.
  auto InheritLate(Instant now, std::uint32_t count) -> void;

  // Returns how many more requests the server can be given, when a cold one
  // is given at most `cold_share`.
  [[nodiscard]] auto Headroom(Instant now, std::uint32_t cold_share) const
      -> std::uint32_t;

  // Returns whether a recent report exists.
  [[nodiscard]] auto IsReporting(Instant now) const -> bool;

  // Returns whether the server announced the prefix as cached.
  [[nodiscard]] auto Caches(std::uint64_t prefix) const -> bool;

  // Returns the requests at the server, as far as they are known.
  [[nodiscard]] auto Occupancy(Instant now) const -> std::uint32_t;

  // Returns the requests that the server bears at once.
  [[nodiscard]] auto limit() const -> std::uint32_t;

  [[nodiscard]] auto rule() const -> const BackendServerRule& { return rule_; }
  [[nodiscard]] auto warm() const -> bool { return warm_; }
  [[nodiscard]] auto ready() const -> bool { return ready_; }
  [[nodiscard]] auto queued() const -> std::uint32_t { return queued_; }
  [[nodiscard]] auto incarnation() const -> Incarnation { return incarnation_; }
  [[nodiscard]] auto versions() const -> const std::vector<ModelVersion>& {
    return versions_;
  }
  [[nodiscard]] auto first_token() const -> Duration { return first_token_; }
  [[nodiscard]] auto last_report() const -> Instant { return last_report_; }

  // When the next poll is due, and when the one under way was sent.
  Instant next_poll;
  std::optional<Instant> poll_sent;

 private:
  auto FollowIncarnation(Instant now, const LoadReport& report) -> void;
  auto FollowWarmth(Instant now, Instant polled, const LoadReport& report)
      -> void;
  auto FollowRunning(Instant now, Instant polled, std::uint32_t running)
      -> void;
  auto TurnCold(Instant now, double limit_when_warm) -> void;
  auto LearnFirstToken(Instant now, Duration first_token) -> void;
  [[nodiscard]] auto Inherited(Instant now) const -> std::uint32_t;

  BackendServerRule rule_;
  StewardSettings settings_;
  bool warm_ = false;
  double limit_;
  // Where the limit starts once the server is seen warm.
  double limit_when_warm_;
  // Reports sent for before this time do not show the server warm.
  Instant distrust_until_;
  Incarnation incarnation_ = 0;
  Incarnation earlier_incarnation_ = 0;
  std::uint32_t outstanding_ = 0;
  std::uint32_t reported_running_ = 0;
  std::uint32_t queued_ = 0;
  // Requests that run because of earlier stewards' credits, at most.
  std::uint32_t inherited_ = 0;
  Instant inherited_until_;
  // Reports sent for from this time on bound what is inherited.
  Instant shrink_from_;
  Instant ready_from_;
  bool ready_ = false;
  bool reported_ = false;
  Instant last_report_;
  std::vector<ModelVersion> versions_;
  std::deque<std::uint64_t> prefixes_;
  Duration first_token_{0};
  std::uint32_t first_token_samples_ = 0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_STEWARD_BACKEND_SERVER_STATE_H_
