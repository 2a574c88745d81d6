#include "libzinniastep/operations/edits.h"

#include <algorithm>
#include <utility>

#include <absl/status/status.h>

namespace zinniastep {

namespace {

auto NotFound(const std::string& what) -> absl::Status {
  return absl::NotFoundError("no " + what);
}

}  // namespace

auto SetDomainState(const FailureDomainId& domain, FailureDomainState state)
    -> RecordEdit {
  return [domain,
          state](const RecordValue& current) -> absl::StatusOr<RecordValue> {
    auto map = std::get<FailureDomainMap>(current);
    const auto rule =
        std::ranges::find(map.domains, domain, &FailureDomainRule::id);
    if (rule == map.domains.end()) {
      return NotFound("failure domain " + domain.text());
    }
    rule->state = state;
    return RecordValue(std::move(map));
  };
}

auto WithdrawVersion(const ModelVersion& version,
                     const std::string& reason,
                     bool bad) -> RecordEdit {
  return [version, reason,
          bad](const RecordValue& current) -> absl::StatusOr<RecordValue> {
    auto document = std::get<Document>(current);
    const auto rule =
        std::ranges::find(document.versions, version, &VersionRule::id);
    if (rule == document.versions.end()) {
      return NotFound("version " + ToString(version));
    }
    rule->state = VersionState::kWithdrawn;
    rule->bad = rule->bad || bad;
    rule->reason = reason.empty() ? rule->reason : reason;
    for (RolloutRule& rollout : document.rollouts) {
      if (rollout.model == version.model &&
          rollout.to_version == version.version &&
          rollout.state == RolloutRule::State::kRunning) {
        rollout.state = RolloutRule::State::kHeld;
        rollout.reason = "version withdrawn";
      }
    }
    return RecordValue(std::move(document));
  };
}

auto SetRolloutState(const RolloutId& rollout,
                     RolloutRule::State state,
                     const std::string& reason) -> RecordEdit {
  return [rollout, state,
          reason](const RecordValue& current) -> absl::StatusOr<RecordValue> {
    auto document = std::get<Document>(current);
    const auto rule =
        std::ranges::find(document.rollouts, rollout, &RolloutRule::id);
    if (rule == document.rollouts.end()) {
      return NotFound("roll-out " + rollout.text());
    }
    if (rule->state == RolloutRule::State::kFinished) {
      return absl::FailedPreconditionError("the roll-out has finished");
    }
    rule->state = state;
    rule->reason = reason;
    return RecordValue(std::move(document));
  };
}

auto SetServerLeaving(const BackendServerId& server, bool leaving)
    -> RecordEdit {
  return [server,
          leaving](const RecordValue& current) -> absl::StatusOr<RecordValue> {
    auto roster = std::get<ServerRoster>(current);
    const auto rule =
        std::ranges::find(roster.servers, server, &BackendServerRule::id);
    if (rule == roster.servers.end()) {
      return NotFound("backend server " + server.text());
    }
    rule->leaving = leaving;
    return RecordValue(std::move(roster));
  };
}

}  // namespace zinniastep
