#include "libzinniastep/gateway/rollout_desk.h"

#include <algorithm>
#include <utility>

namespace zinniastep {

namespace {

// A fleet with this many hosts or fewer tells all peers at once.
constexpr std::size_t kSmallFleet = 16;
// Hosts that may speak for a roll-out when those before them do not.
constexpr std::size_t kSpeakers = 3;
constexpr Duration kSpeakerPatience = std::chrono::milliseconds(1200);
constexpr Duration kWriteRetry = std::chrono::milliseconds(500);
// Peers that hear of a fault at once, each of which tells some more.
constexpr std::size_t kFaultFanOut = 16;
constexpr Duration kShortestSharePeriod = std::chrono::milliseconds(400);
// Messages of evidence that a speaker takes in a second, from all hosts
// together: some hundredths of a small host's processor time.
constexpr int kSpeakerMessagesPerSecond = 200;
// A good version's evidence comes at least this often.
constexpr Duration kLongestSharePeriod = std::chrono::milliseconds(2000);

}  // namespace

RolloutDesk::RolloutDesk(HostId self,
                         const HostRing& ring,
                         GatewayOutbox& outbox)
    : self_(std::move(self)), ring_(ring), outbox_(outbox) {}

auto RolloutDesk::OnRecords(Instant now,
                            const std::vector<RolloutRecord>& records) -> void {
  rollouts_.Update(now, records);
}

auto RolloutDesk::OnTime(Instant now) -> bool {
  ShareEvidence(now);
  const bool changed = Judge(now);
  WriteStatuses(now);
  return changed;
}

auto RolloutDesk::OnOwnEvidence(Instant now,
                                const std::vector<VersionRow>& rows) -> bool {
  evidence_.AddOwn(rows);
  evidence_changed_ = evidence_changed_ || !rows.empty();
  for (const RolloutSplit& split : rollouts_.splits()) {
    failure_untold_ = failure_untold_ ||
                      std::ranges::any_of(rows, [&](const VersionRow& row) {
                        return row.key.service == split.service &&
                               row.key.version == split.target_version &&
                               row.counts.failures > 0;
                      });
  }
  return Judge(now);
}

auto RolloutDesk::OnPeerEvidence(Instant now,
                                 Incarnation peer,
                                 const std::vector<VersionRow>& rows) -> void {
  evidence_.TakePeers(now, peer, rows);
}

auto RolloutDesk::OnPeerFault(const VersionFault& fault) -> bool {
  if (!rollouts_.OnPeerVerdict(fault.service, fault.version, fault.order)) {
    return false;
  }
  outbox_.SendToSome(kFaultFanOut, fault);
  return true;
}

auto RolloutDesk::OnPeerProgress(Instant now,
                                 const std::vector<RolloutProgress>& progress)
    -> bool {
  bool news = false;
  for (const RolloutProgress& one : progress) {
    news = rollouts_.OnPeerProgress(now, one) || news;
  }
  return news;
}

auto RolloutDesk::OnStatusWritten(Instant now,
                                  const std::string& rollout,
                                  WriteOutcome outcome) -> void {
  const auto found = pending_writes_.find(rollout);
  if (found != pending_writes_.end()) {
    found->second.under_way = false;
    found->second.not_before = now + kWriteRetry;
  }
  outbox_.Log("rollout_status_written",
              {{"rollout", rollout},
               {"outcome", outcome == WriteOutcome::kDone       ? "done"
                           : outcome == WriteOutcome::kConflict ? "conflict"
                           : outcome == WriteOutcome::kRefused  ? "refused"
                                                                : "silent"}});
}

auto RolloutDesk::SharePeriod() const -> Duration {
  if (failure_untold_) {
    return kShortestSharePeriod;
  }
  const Duration by_size = std::chrono::duration_cast<Duration>(
      std::chrono::seconds(1) * ring_.size() / kSpeakerMessagesPerSecond);
  return std::clamp<Duration>(by_size, kShortestSharePeriod,
                              kLongestSharePeriod);
}

auto RolloutDesk::ShareEvidence(Instant now) -> void {
  if (!evidence_changed_ || !rollouts_.IsRunning() ||
      now - shared_at_ < SharePeriod()) {
    return;
  }
  shared_at_ = now;
  evidence_changed_ = false;
  failure_untold_ = false;
  const bool is_small = ring_.size() <= kSmallFleet;
  OwnEvidence whole;
  for (const RolloutSplit& split : rollouts_.splits()) {
    OwnEvidence own;
    for (const auto& [key, counts] : evidence_.own()) {
      if (key.service == split.service) {
        own.rows.push_back({key, counts});
      }
    }
    if (own.rows.empty()) {
      continue;
    }
    if (is_small) {
      whole.rows.insert(whole.rows.end(), own.rows.begin(), own.rows.end());
      continue;
    }
    // Only hosts that may speak for the roll-out need to know.
    for (const HostIdentity& host :
         ring_.First(split.service.text(), kSpeakers)) {
      if (host.host != self_) {
        outbox_.Send(host, own);
      }
    }
  }
  if (!whole.rows.empty()) {
    outbox_.SendToSome(kSmallFleet, whole);
  }
}

auto RolloutDesk::Judge(Instant now) -> bool {
  evidence_.Expire(now);
  if (!rollouts_.IsRunning() || !rollouts_.Judge(now, evidence_.all())) {
    return false;
  }
  for (const RolloutSplit& split : rollouts_.splits()) {
    outbox_.Log("rollout_share",
                {{"service", split.service.text()},
                 {"target", split.target_version},
                 {"share", std::to_string(split.target_share)}});
  }
  for (const RolloutStatusWrite& write : rollouts_.DueWrites()) {
    if (write.state != RolloutState::kReverted) {
      continue;
    }
    for (const RolloutSplit& split : rollouts_.splits()) {
      if (split.target_version == write.target_version) {
        outbox_.SendToSome(
            kFaultFanOut,
            VersionFault{split.service, split.target_version, split.order});
      }
    }
  }
  return true;
}

auto RolloutDesk::WriteStatuses(Instant now) -> void {
  const auto due = rollouts_.DueWrites();
  std::erase_if(pending_writes_, [&due](const auto& item) {
    return !item.second.under_way &&
           std::ranges::none_of(due, [&item](const RolloutStatusWrite& write) {
             return write.name == item.first;
           });
  });
  for (const RolloutStatusWrite& write : due) {
    PendingWrite& pending =
        pending_writes_.try_emplace(write.name, PendingWrite{now, now, false})
            .first->second;
    const std::size_t rank = ring_.RankOf(self_, write.name, kSpeakers);
    if (pending.under_way || now < pending.not_before || rank >= kSpeakers ||
        now - pending.due_since <
            kSpeakerPatience * static_cast<std::int64_t>(rank)) {
      continue;
    }
    pending.under_way = true;
    outbox_.Do(write);
    outbox_.Log("rollout_status_due",
                {{"rollout", write.name},
                 {"target", write.target_version},
                 {"state", std::to_string(static_cast<int>(write.state))},
                 {"reason", write.reason},
                 {"revision", std::to_string(write.revision)}});
  }
}

}  // namespace zinniastep
