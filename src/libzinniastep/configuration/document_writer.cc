#include "libzinniastep/configuration/document_writer.h"

#include <nlohmann/json.hpp>

namespace zinniastep {

namespace {

using Json = nlohmann::ordered_json;

constexpr int kIndent = 2;

auto ToJson(const Price& price) -> Json {
  return {
      {"per_request", price.per_request},
      {"per_thousand_prompt_tokens", price.per_thousand_prompt_tokens},
      {"per_thousand_completion_tokens", price.per_thousand_completion_tokens}};
}

auto ToJson(const AccountRule& rule) -> Json {
  return {{"id", rule.id.text()},    {"key_digests", rule.key_digests},
          {"allowed", rule.allowed}, {"quality_target", rule.quality_target},
          {"share", rule.share},     {"buffer_streams", rule.buffer_streams}};
}

auto ToJson(const VersionRule& rule) -> Json {
  const bool active = rule.state == VersionState::kActive;
  return {{"model", rule.id.model},
          {"version", rule.id.version},
          {"price", ToJson(rule.price)},
          {"state", active ? "active" : "withdrawn"},
          {"reason", rule.reason},
          {"bad", rule.bad},
          {"prior_quality", rule.prior_quality},
          {"memory_megabytes", rule.memory_megabytes}};
}

auto ToJson(const CascadeRule& rule) -> Json {
  return {{"id", rule.id.text()}, {"models", rule.models}};
}

auto ToText(RolloutRule::State state) -> const char* {
  switch (state) {
    case RolloutRule::State::kRunning:
      return "running";
    case RolloutRule::State::kHeld:
      return "held";
    case RolloutRule::State::kFinished:
      return "finished";
  }
  return "held";
}

auto ToJson(const RolloutRule& rule) -> Json {
  return {{"id", rule.id.text()},
          {"model", rule.model},
          {"from_version", rule.from_version},
          {"to_version", rule.to_version},
          {"steps", rule.steps},
          {"step", rule.step},
          {"state", ToText(rule.state)},
          {"session_share", rule.session_share},
          {"least_answers_per_step", rule.least_answers_per_step},
          {"tolerated_quality_loss", rule.tolerated_quality_loss},
          {"reason", rule.reason}};
}

auto ToJson(const ServiceRule& rule) -> Json {
  return {{"id", rule.id.text()},
          {"idempotent", rule.idempotent},
          {"price", ToJson(rule.price)}};
}

template <class Rule>
auto ToArray(const std::vector<Rule>& rules) -> Json {
  Json array = Json::array();
  for (const Rule& rule : rules) {
    array.push_back(ToJson(rule));
  }
  return array;
}

}  // namespace

auto WriteDocument(const Document& document) -> std::string {
  const Json value = {{"team", document.team.text()},
                      {"generation", document.generation},
                      {"accounts", ToArray(document.accounts)},
                      {"versions", ToArray(document.versions)},
                      {"cascades", ToArray(document.cascades)},
                      {"rollouts", ToArray(document.rollouts)},
                      {"services", ToArray(document.services)}};
  return value.dump(kIndent) + "\n";
}

}  // namespace zinniastep
