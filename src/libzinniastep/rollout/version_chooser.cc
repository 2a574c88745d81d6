#include "libzinniastep/rollout/version_chooser.h"

#include <algorithm>
#include <string_view>

#include "libzinniastep/base/hash.h"

namespace zinniastep {

namespace {

constexpr std::uint64_t kSessionSeed = 0x73657373;
constexpr std::uint64_t kRequestSeed = 0x72657175;

// Hashes the key to a number in [0, 1) that is fixed for each roll-out and
// seed.
auto HashToFraction(std::string_view key,
                    const RolloutId& rollout,
                    std::uint64_t seed) -> double {
  constexpr double kHashRange = 18446744073709551616.0;  // 2^64
  const std::uint64_t salt = StableHash(rollout.text(), seed);
  return static_cast<double>(StableHash(key, salt)) / kHashRange;
}

// Returns the model's roll-out that applies to requests: the last unfinished
// one or, if all have finished, the last one. Returns null if the model has
// none.
auto FindRollout(const Document& document, std::string_view model)
    -> const RolloutRule* {
  const RolloutRule* found = nullptr;
  for (const RolloutRule& rollout : document.rollouts) {
    const bool finished = rollout.state == RolloutRule::State::kFinished;
    const bool found_unfinished =
        found != nullptr && found->state != RolloutRule::State::kFinished;
    if (rollout.model == model && (!finished || !found_unfinished)) {
      found = &rollout;
    }
  }
  return found;
}

// Returns the last active version of the model in the document.
auto FindActive(const Document& document, std::string_view model)
    -> std::optional<ModelVersion> {
  std::optional<ModelVersion> active;
  for (const VersionRule& rule : document.versions) {
    if (rule.id.model == model && rule.state == VersionState::kActive) {
      active = rule.id;
    }
  }
  return active;
}

}  // namespace

VersionChooser::VersionChooser(const ConfigurationSnapshot& configuration,
                               const AlarmTable& alarms)
    : configuration_(configuration), alarms_(alarms) {}

auto VersionChooser::ChooseForSession(const Document& document,
                                      const VersionQuery& query) const
    -> std::optional<ModelVersion> {
  std::optional<ModelVersion> version;
  for (const RolloutRule& rollout : document.rollouts) {
    if (rollout.model != query.model) {
      continue;
    }
    const ModelVersion from{rollout.model, rollout.from_version};
    version = version.value_or(from);
    const double fraction =
        HashToFraction(query.session.text(), rollout.id, kSessionSeed);
    if (*version == from && fraction < rollout.session_share) {
      version = ModelVersion{rollout.model, rollout.to_version};
    }
  }
  return version && configuration_.IsServing(*version) ? version : std::nullopt;
}

auto VersionChooser::ChooseInRollout(const RolloutRule& rollout,
                                     const VersionQuery& query) const
    -> std::optional<ModelVersion> {
  const ModelVersion from{rollout.model, rollout.from_version};
  const ModelVersion to{rollout.model, rollout.to_version};
  const bool from_serves = configuration_.IsServing(from);
  const bool to_serves = configuration_.IsServing(to);
  if (!from_serves || !to_serves) {
    return from_serves ? std::optional(from)
           : to_serves ? std::optional(to)
                       : std::nullopt;
  }
  if (!query.session.empty()) {
    return from;
  }
  if (alarms_.Find(to, query.account, query.task_class) != nullptr ||
      rollout.state == RolloutRule::State::kHeld) {
    return from;
  }
  if (rollout.state == RolloutRule::State::kFinished) {
    return to;
  }
  const double share =
      rollout.step < rollout.steps.size() ? rollout.steps[rollout.step] : 0.0;
  const double fraction =
      HashToFraction(ToString(query.request), rollout.id, kRequestSeed);
  return fraction < share ? to : from;
}

auto VersionChooser::Choose(const VersionQuery& query) const
    -> std::optional<ModelVersion> {
  const auto& pinned = query.session_version;
  if (pinned && pinned->model == query.model &&
      configuration_.IsServing(*pinned)) {
    return pinned;
  }
  for (const auto& [team, document] : configuration_.documents) {
    if (auto assigned = ChooseForSession(document, query);
        assigned && !query.session.empty()) {
      return assigned;
    }
    if (const RolloutRule* rollout = FindRollout(document, query.model)) {
      if (auto chosen = ChooseInRollout(*rollout, query)) {
        return chosen;
      }
    }
    if (auto active = FindActive(document, query.model)) {
      return active;
    }
  }
  return std::nullopt;
}

}  // namespace zinniastep
