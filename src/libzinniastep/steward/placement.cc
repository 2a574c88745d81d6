#include "libzinniastep/steward/placement.h"

#include <algorithm>
#include <set>
#include <string>

#include "libzinniastep/core/action.h"

namespace zinniastep {

namespace {

constexpr Duration kRoundPeriod = std::chrono::seconds(1);
// A silent order counts as unanswered after so many delivery times.
constexpr int kAnswerDeliveries = 5;

auto OutcomeName(OrderOutcome outcome) -> std::string {
  switch (outcome) {
    case OrderOutcome::kDone:
      return "done";
    case OrderOutcome::kRefusedOld:
      return "refused_old";
    case OrderOutcome::kFailed:
      return "failed";
    case OrderOutcome::kSilent:
      return "silent";
  }
  return "unknown";
}

}  // namespace

Placement::Placement(const Assignment& assignment,
                     const ConfigurationSnapshot& configuration,
                     StewardSettings settings)
    : assignment_(assignment),
      configuration_(configuration),
      settings_(settings) {}

auto Placement::OnTime(Instant now, const Steward& steward, Effects& effects)
    -> void {
  if (now < next_round_) {
    return;
  }
  next_round_ = now + kRoundPeriod;
  std::erase_if(
      open_, [&](const auto& entry) { return now >= entry.second.answer_by; });
  std::erase_if(rest_until_,
                [&](const auto& entry) { return now >= entry.second; });
  for (const auto& [id, cell] : steward.held().cells()) {
    OrderCell(now, id, cell, effects);
  }
}

// A new steward waits until no order of an earlier one can still arrive, and
// an order must arrive while the lease still runs.
auto Placement::OrderCell(Instant now,
                          const CellId& id,
                          const HeldCell& cell,
                          Effects& effects) -> void {
  const Instant orders_from = cell.eligible + settings_.order_delivery;
  const Instant arrival = now + settings_.order_delivery;
  if (!assignment_.IsHolder(id.domain, id.cell, now) || cell.stands_in ||
      now < orders_from || arrival >= assignment_.LeaseEnd(id.domain) ||
      !configuration_.IsIn(id.domain)) {
    return;
  }
  for (const auto& [server, state] : cell.servers) {
    if (open_.size() >= settings_.order_bound) {
      return;
    }
    const bool rests = open_.contains(server) || rest_until_.contains(server);
    // Only a report made after the last order tells what the server holds.
    if (!rests && state.ready() && state.IsReporting(now)) {
      OrderServer(now, cell, state, effects);
    }
  }
}

auto Placement::OrderServer(Instant now,
                            const HeldCell& cell,
                            const BackendServerState& state,
                            Effects& effects) -> void {
  const BackendServerRule& rule = state.rule();
  if (rule.leaving || rule.kind != BackendServerRule::Kind::kEngine) {
    return;
  }
  for (const ModelVersion& version : DesiredVersions(rule)) {
    const auto& held = state.versions();
    if (std::find(held.begin(), held.end(), version) != held.end()) {
      continue;
    }
    open_[rule.id] =
        OpenOrder{version, cell.epoch,
                  now + kAnswerDeliveries * settings_.order_delivery};
    effects.Log("placement_decision", {{"server", rule.id.text()},
                                       {"version", ToString(version)},
                                       {"action", "load"},
                                       {"fence", std::to_string(cell.epoch)}});
    effects.Do(SendOrder{rule.id, rule.address, cell.epoch, version, true,
                         settings_.order_delivery});
    return;
  }
}

auto Placement::OnOrderAnswered(Instant now,
                                const OrderAnswered& answered,
                                Effects& effects) -> void {
  const auto it = open_.find(answered.server);
  if (it == open_.end() || it->second.version != answered.version) {
    return;
  }
  open_.erase(it);
  rest_until_[answered.server] = now + settings_.order_period;
  effects.Log("order_answered", {{"server", answered.server.text()},
                                 {"version", ToString(answered.version)},
                                 {"outcome", OutcomeName(answered.outcome)}});
}

auto Placement::DesiredVersions(const BackendServerRule& rule) const
    -> std::vector<ModelVersion> {
  std::vector<ModelVersion> wanted = rule.versions;
  for (const auto& [team, document] : configuration_.documents) {
    for (const RolloutRule& rollout : document.rollouts) {
      const ModelVersion from{rollout.model, rollout.from_version};
      const ModelVersion to{rollout.model, rollout.to_version};
      const bool has_from =
          std::find(wanted.begin(), wanted.end(), from) != wanted.end();
      const bool has_to =
          std::find(wanted.begin(), wanted.end(), to) != wanted.end();
      if (rollout.state == RolloutRule::State::kRunning && has_from &&
          !has_to) {
        wanted.push_back(to);
      }
    }
  }
  std::uint64_t used = 0;
  std::vector<ModelVersion> desired;
  for (const ModelVersion& version : wanted) {
    const VersionRule* known = configuration_.FindVersion(version);
    if (known == nullptr || known->state == VersionState::kWithdrawn) {
      continue;
    }
    used += known->memory_megabytes;
    if (rule.memory_megabytes != 0 && used > rule.memory_megabytes) {
      break;
    }
    desired.push_back(version);
  }
  return desired;
}

}  // namespace zinniastep
