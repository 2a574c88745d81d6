#include "libzinniastep/gateway/rollout_coordinator.h"

#include <algorithm>
#include <utility>

namespace zinniastep {

namespace {

// In a fleet with at most this many hosts, evidence is sent to all peers at
// once.
constexpr std::size_t kSmallFleet = 16;
// Hosts that may coordinate a roll-out, each one when those ranked before it do
// not act.
constexpr std::size_t kCoordinators = 3;
constexpr Duration kCoordinatorTakeoverDelay = std::chrono::milliseconds(1200);
constexpr Duration kWriteRetryDelay = std::chrono::milliseconds(500);
// Peers to which a fault is sent at once, each of which forwards it to some
// more.
constexpr std::size_t kFaultFanOut = 16;
// Delays from this step on are sent as soon as failures.
constexpr std::size_t kUnusualDelayStep = 2;
constexpr Duration kMinSharePeriod = std::chrono::milliseconds(400);
// Messages of evidence that a coordinator receives per second from all hosts
// together; they take a few hundredths of a small host's processor time.
constexpr int kCoordinatorMessagesPerSecond = 200;
// Evidence of a version without failures is sent at least this often.
constexpr Duration kMaxSharePeriod = std::chrono::milliseconds(2000);

}  // namespace

RolloutCoordinator::RolloutCoordinator(HostId self,
                                       const HostRing& ring,
                                       GatewayOutbox& outbox)
    : self_(std::move(self)), ring_(ring), outbox_(outbox) {}

auto RolloutCoordinator::OnRecords(Instant now,
                                   const std::vector<RolloutRecord>& records)
    -> void {
  guard_.Update(now, records);
}

auto RolloutCoordinator::OnTime(Instant now) -> bool {
  ShareEvidence(now);
  const bool changed = Evaluate(now);
  WriteStatuses(now);
  return changed;
}

auto RolloutCoordinator::OnOwnEvidence(Instant now,
                                       const std::vector<VersionRow>& rows)
    -> bool {
  evidence_.AddOwn(rows);
  evidence_changed_ = evidence_changed_ || !rows.empty();
  for (const RolloutSplit& split : guard_.splits()) {
    failure_unsent_ = failure_unsent_ ||
                      std::ranges::any_of(rows, [&](const VersionRow& row) {
                        return row.key.service == split.service &&
                               row.key.version == split.target_version &&
                               (row.counts.failures > 0 ||
                                row.counts.slower[kUnusualDelayStep] > 0);
                      });
  }
  return Evaluate(now);
}

auto RolloutCoordinator::OnPeerEvidence(Instant now,
                                        Incarnation peer,
                                        const std::vector<VersionRow>& rows)
    -> void {
  evidence_.ReplacePeerEvidence(now, peer, rows);
}

auto RolloutCoordinator::OnPeerFault(const VersionFault& fault) -> bool {
  if (!guard_.OnPeerVerdict(fault.service, fault.version, fault.order)) {
    return false;
  }
  outbox_.SendToRandomPeers(kFaultFanOut, fault);
  return true;
}

auto RolloutCoordinator::OnPeerProgress(
    Instant now,
    const std::vector<RolloutProgress>& progress) -> bool {
  bool changed = false;
  for (const RolloutProgress& entry : progress) {
    changed = guard_.OnPeerProgress(now, entry) || changed;
  }
  return changed;
}

auto RolloutCoordinator::OnStatusWritten(Instant now,
                                         const std::string& rollout,
                                         WriteOutcome outcome) -> void {
  const auto found = pending_writes_.find(rollout);
  if (found != pending_writes_.end()) {
    found->second.in_progress = false;
    found->second.not_before = now + kWriteRetryDelay;
  }
  outbox_.Log("rollout_status_written",
              {{"rollout", rollout},
               {"outcome", outcome == WriteOutcome::kDone       ? "done"
                           : outcome == WriteOutcome::kConflict ? "conflict"
                           : outcome == WriteOutcome::kRefused  ? "refused"
                                                                : "silent"}});
}

auto RolloutCoordinator::SharePeriod() const -> Duration {
  if (failure_unsent_) {
    return kMinSharePeriod;
  }
  const Duration by_size = std::chrono::duration_cast<Duration>(
      std::chrono::seconds(1) * ring_.size() / kCoordinatorMessagesPerSecond);
  return std::clamp<Duration>(by_size, kMinSharePeriod, kMaxSharePeriod);
}

auto RolloutCoordinator::ShareEvidence(Instant now) -> void {
  if (!evidence_changed_ || !guard_.IsRunning() ||
      now - shared_at_ < SharePeriod()) {
    return;
  }
  shared_at_ = now;
  evidence_changed_ = false;
  failure_unsent_ = false;
  const bool is_small_fleet = ring_.size() <= kSmallFleet;
  OwnEvidence combined;
  for (const RolloutSplit& split : guard_.splits()) {
    OwnEvidence own;
    for (const auto& [key, counts] : evidence_.own()) {
      if (key.service == split.service) {
        own.rows.push_back({key, counts});
      }
    }
    if (own.rows.empty()) {
      continue;
    }
    if (is_small_fleet) {
      combined.rows.insert(combined.rows.end(), own.rows.begin(),
                           own.rows.end());
      continue;
    }
    // Only hosts that may coordinate the roll-out need the evidence.
    for (const HostIdentity& host :
         ring_.First(split.service.text(), kCoordinators)) {
      if (host.host != self_) {
        outbox_.Send(host, own);
      }
    }
  }
  if (!combined.rows.empty()) {
    outbox_.SendToRandomPeers(kSmallFleet, combined);
  }
}

auto RolloutCoordinator::Evaluate(Instant now) -> bool {
  evidence_.Expire(now);
  if (!guard_.IsRunning() || !guard_.Evaluate(now, evidence_.all())) {
    return false;
  }
  for (const RolloutSplit& split : guard_.splits()) {
    outbox_.Log("rollout_share",
                {{"service", split.service.text()},
                 {"target", split.target_version},
                 {"share", std::to_string(split.target_share)}});
  }
  for (const RolloutStatusWrite& write : guard_.DueWrites()) {
    if (write.state != RolloutState::kReverted) {
      continue;
    }
    for (const RolloutSplit& split : guard_.splits()) {
      if (split.target_version == write.target_version) {
        outbox_.SendToRandomPeers(
            kFaultFanOut,
            VersionFault{split.service, split.target_version, split.order});
      }
    }
  }
  return true;
}

auto RolloutCoordinator::WriteStatuses(Instant now) -> void {
  const auto due = guard_.DueWrites();
  std::erase_if(pending_writes_, [&due](const auto& item) {
    return !item.second.in_progress &&
           std::ranges::none_of(due, [&item](const RolloutStatusWrite& write) {
             return write.name == item.first;
           });
  });
  for (const RolloutStatusWrite& write : due) {
    PendingWrite& pending =
        pending_writes_.try_emplace(write.name, PendingWrite{now, now, false})
            .first->second;
    const std::size_t rank = ring_.RankOf(self_, write.name, kCoordinators);
    if (pending.in_progress || now < pending.not_before ||
        rank >= kCoordinators ||
        now - pending.due_since <
            kCoordinatorTakeoverDelay * static_cast<std::int64_t>(rank)) {
      continue;
    }
    pending.in_progress = true;
    outbox_.Add(write);
    outbox_.Log("rollout_status_due",
                {{"rollout", write.name},
                 {"target", write.target_version},
                 {"state", std::to_string(static_cast<int>(write.state))},
                 {"reason", write.reason},
                 {"revision", std::to_string(write.revision)}});
    if (write.is_again) {
      outbox_.Log("restored_status_written_again", {{"rollout", write.name}});
    }
  }
}

}  // namespace zinniastep
