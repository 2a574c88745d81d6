#ifndef LIBZINNIASTEP_CLAIM_CLAIM_LIMITS_H_
#define LIBZINNIASTEP_CLAIM_CLAIM_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "libzinniastep/base/time.h"
#include "libzinniastep/core/cluster_view.h"

namespace zinniastep {

// Bounds of time, memory and writes of the claim protocol.
struct ClaimLimits {
  // An authority collects claims for this long before it writes them.
  Duration commit_window = std::chrono::milliseconds(10);
  // Outcomes wait this long for a claim to share its write with.
  Duration outcome_window = std::chrono::milliseconds(250);
  // Writes a second that all shards together may cost the object API.
  double fleet_writes_per_second = 128.0;
  // Writes that one shard may do at once after a quiet time.
  double write_burst = 6.0;
  // A claim that could not be written for this long is refused. By then this
  // host has heard of a change of holder, so that it may say "not run".
  Duration longest_commit_wait = std::chrono::seconds(2);
  // A host that did nothing for this long was paused and may have missed it.
  Duration pause = std::chrono::milliseconds(500);
  // First and longest time between two sends of an unanswered message.
  Duration first_resend = std::chrono::milliseconds(100);
  Duration longest_resend = std::chrono::seconds(1);
  Duration longest_report_resend = std::chrono::seconds(8);
  // How long a home that membership does not know is looked for.
  Duration home_search = std::chrono::seconds(2);
  // How long an executor that membership does not know is believed to live.
  Duration executor_search = std::chrono::seconds(10);
  // How long a report is repeated.
  Duration report_patience = std::chrono::minutes(10);
  // How long a key without a home is remembered at the longest, and at the
  // least when its shard is full.
  Duration shard_retention = std::chrono::hours(1);
  Duration least_shard_retention = std::chrono::minutes(10);
  std::size_t keys_per_shard = 2000;
  // Prefixes change with each period; keys of older periods than the last few
  // are refused, never run.
  Duration home_period = std::chrono::minutes(10);
  std::uint64_t home_periods_kept = 6;
  std::size_t home_keys = 65536;
  // Answers kept for replay.
  Duration replay_retention = std::chrono::minutes(10);
  std::size_t replay_answers = 4096;
  std::size_t replay_bytes = 16U << 20U;
  std::size_t longest_replay = 256U << 10U;
  // Requests that wait for one key's first request and are told at once.
  std::size_t waiters_per_key = 8;
  // Reports that wait to be taken.
  std::size_t open_reports = 4096;

  // Returns the writes a second that one shard may cost.
  [[nodiscard]] auto shard_writes_per_second() const -> double {
    return fleet_writes_per_second / kKeyShards;
  }
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CLAIM_CLAIM_LIMITS_H_
