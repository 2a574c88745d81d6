#include "libzinniastep/report/decision_log.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "libzinniastep/base/overloaded.h"

namespace zinniastep {

namespace {

using nlohmann::json;

constexpr double kMicrosPerMilli = 1000.0;

auto Millis(Duration duration) -> double {
  return static_cast<double>(duration.count()) / kMicrosPerMilli;
}

auto ToJson(const VersionChosen& chosen) -> json {
  const CascadePlan& plan = chosen.plan;
  json candidates = json::array();
  for (const CandidateEstimate& candidate : plan.candidates) {
    candidates.push_back({{"version", ToString(candidate.version)},
                          {"expected_quality", candidate.expected_quality},
                          {"quality_deviation", candidate.quality_deviation},
                          {"expected_cost_micro", candidate.expected_cost},
                          {"value", candidate.value}});
  }
  json steps = json::array();
  for (std::size_t i = 0; i < plan.steps.size(); ++i) {
    steps.push_back({{"version", ToString(plan.steps[i])},
                     {"accept_from", plan.accept_from[i]}});
  }
  return {{"decision", "version"},
          {"account", plan.account.text()},
          {"task_class", plan.task_class.text()},
          {"quality_target", plan.quality_target},
          {"target_reachable", plan.target_reachable},
          {"held", plan.delivery == Delivery::kHold},
          {"exploring", plan.exploring},
          {"steps", std::move(steps)},
          {"candidates", std::move(candidates)},
          {"reason", plan.reason}};
}

auto ToJson(const AnswerJudged& judged) -> json {
  json value = {{"decision", "judgement"}, {"step", judged.step}};
  std::visit(Overloaded{
                 [&](const AnswerAccepted& accepted) {
                   value["verdict"] = "accepted";
                   value["expected_quality"] = accepted.expected_quality;
                 },
                 [&](const AnswerEscalated& escalated) {
                   value["verdict"] = "escalated";
                   value["expected_quality"] = escalated.expected_quality;
                   value["to"] = ToString(escalated.version);
                 },
             },
             judged.verdict);
  return value;
}

auto ToJson(const PoolChosen& chosen) -> json {
  json candidates = json::array();
  for (const PoolCandidate& candidate : chosen.choice.candidates) {
    candidates.push_back(
        {{"domain", candidate.domain.text()},
         {"headroom", candidate.headroom},
         {"expected_first_token_ms", Millis(candidate.expected_first_token)},
         {"compared", candidate.compared}});
  }
  return {{"decision", "pool"},
          {"version", ToString(chosen.version)},
          {"domain", chosen.choice.domain.text()},
          {"candidates", std::move(candidates)}};
}

auto ToJson(const RequestRefused& refused) -> json {
  return {{"decision", "refusal"},
          {"code", refused.refusal.code},
          {"message", refused.refusal.message}};
}

}  // namespace

DecisionLog::DecisionLog(std::size_t most_decisions)
    : most_decisions_(most_decisions) {}

auto DecisionLog::Add(Decision decision) -> void {
  decisions_.push_back(std::move(decision));
  if (decisions_.size() > most_decisions_) {
    decisions_.pop_front();
  }
}

auto DecisionLog::Find(const RequestId& request) const
    -> std::vector<Decision> {
  std::vector<Decision> found;
  for (const Decision& decision : decisions_) {
    if (decision.request == request) {
      found.push_back(decision);
    }
  }
  return found;
}

auto DecisionsAsJson(const std::vector<Decision>& decisions) -> std::string {
  json all = json::array();
  for (const Decision& decision : decisions) {
    json value = std::visit([](const auto& detail) { return ToJson(detail); },
                            decision.detail);
    value["request"] = ToString(decision.request);
    value["at_us"] = decision.at.time_since_epoch().count();
    all.push_back(std::move(value));
  }
  return all.dump(2, ' ', false, json::error_handler_t::replace);
}

}  // namespace zinniastep
