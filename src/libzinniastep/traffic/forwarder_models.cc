// How a forwarder chooses the models that answer its request.

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <utility>

#include "libzinniastep/gateway/model_ladder.h"
#include "libzinniastep/traffic/forwarder.h"
#include "libzinniastep/traffic/forwarder_limits.h"
#include "libzinniastep/traffic/traffic_engine.h"

namespace zinniastep {

namespace {

// Adds what decided a choice of a model to a log line.
auto AddInputs(const ModelLadderInputs& state,
               const ModelChoice& choice,
               LogEvent& event) -> void {
  const std::array<LogField, 9> inputs = {
      {{"reason", std::string(ToString(choice.reason))},
       {"band", std::to_string(PromptBand(state.prompt_tokens))},
       {"required", std::to_string(choice.required)},
       {"utilization", std::to_string(state.utilization)},
       {"lateness", std::to_string(state.lateness)},
       {"to_target_ms", std::to_string(Milliseconds(state.to_target))},
       {"to_deadline_ms", std::to_string(Milliseconds(state.to_deadline))},
       {"sends_left", std::to_string(state.sends_left)},
       {"may_repeat", state.may_repeat ? "yes" : "no"}}};
  event.fields.insert(event.fields.end(), inputs.begin(), inputs.end());
}

}  // namespace

auto Forwarder::LadderInputs(Instant now, std::uint32_t sends_left) const
    -> ModelLadderInputs {
  ModelLadderInputs state;
  state.route = route_->name;
  state.prompt_tokens = prompt_.prompt_tokens;
  state.adapts = engine_.chooser().IsPaced(now, service_);
  state.models = route_->models.size();
  state.utilization = engine_.chooser().Utilization(now, service_);
  const AnswerDelay& delay = engine_.DelayOf(service_);
  state.lateness = state.adapts ? delay.LatenessAt(now) : delay.lateness();
  state.to_target = began_ + route_->target_latency - now;
  state.to_deadline = progress_.deadline - now;
  state.sends_left = sends_left;
  state.may_repeat = engine_.MayRepeat(service_);
  state.draw = engine_.Draw();
  return state;
}

auto Forwarder::ChooseFirstModel() -> void {
  const ModelLadderInputs state = LadderInputs(began_, progress_.most_servers);
  const ModelChoice choice = engine_.model_ladder().FirstModel(began_, state);
  model_ = choice.model.value_or(0);
  first_model_ = model_;
  engine_.metrics().Count("first_models_" +
                          std::string(ToString(choice.reason)));
  LogEvent event{"model_chosen",
                 {{"request", request_id_},
                  {"model", route_->models[model_]},
                  {"rejected", std::to_string(choice.rejected)},
                  {"answers", std::to_string(choice.answers)}}};
  AddInputs(state, choice, event);
  engine_.Log(event);
}

auto Forwarder::RecordConfidence(Instant now,
                                 std::optional<std::uint32_t> confidence)
    -> void {
  const Duration took = now - sent_at_;
  ModelLadder& ladder = engine_.model_ladder();
  const bool adapts = engine_.chooser().IsPaced(now, service_);
  // The lateness is that of the smallest model, since a larger one begins later
  // at idle servers too.
  const double relative_start =
      adapts ? ladder.RelativeStart(now, route_->name, model_) : 1.0;
  engine_.DelayOf(service_).RecordAnswerStart(
      now, std::chrono::duration<double>(took) /
               std::chrono::duration<double>(
                   std::max<Duration>(route_->target_latency, Duration(1))) /
               relative_start);
  if (!confidence.has_value()) {
    engine_.metrics().Count("confidences_unreadable");
    return;
  }
  ModelLadderInputs state;
  state.route = route_->name;
  state.prompt_tokens = prompt_.prompt_tokens;
  state.adapts = adapts;
  state.models = route_->models.size();
  ladder.RecordAnswer(now, state, model_, model_ == first_model_, *confidence,
                      took);
}

auto Forwarder::LogAnswerKept(const ModelLadderInputs& state,
                              const ModelChoice& choice,
                              std::uint32_t confidence) -> void {
  LogEvent event{"unsure_answer_kept",
                 {{"request", request_id_},
                  {"model", route_->models[model_]},
                  {"confidence", std::to_string(confidence)}}};
  AddInputs(state, choice, event);
  engine_.Log(event);
}

auto Forwarder::Escalate(std::optional<std::uint32_t> confidence) -> bool {
  const Instant now = engine_.Now();
  RecordConfidence(now, confidence);
  if (!confidence.has_value() || progress_.is_trial ||
      engine_.quarantine().IsHeld(crash_parts_)) {
    return false;
  }
  const std::uint32_t sends_used = progress_.servers_used + 1;
  const ModelLadderInputs state =
      LadderInputs(now, progress_.most_servers -
                            std::min(sends_used, progress_.most_servers));
  const ModelChoice choice = engine_.model_ladder().NextModel(
      now, state, model_, *confidence, now - sent_at_);
  engine_.metrics().Count("next_models_" +
                          std::string(ToString(choice.reason)));
  if (!choice.model.has_value()) {
    if (choice.reason == ModelReason::kOverBudget) {
      engine_.metrics().Count("escalations_over_budget");
    }
    if (*confidence < choice.required) {
      LogAnswerKept(state, choice, *confidence);
    }
    return false;
  }
  const std::size_t model = std::exchange(model_, *choice.model);
  ServerNeed need = Need();
  need.tried = {};
  const UsableBackend* backend = engine_.chooser().Choose(now, need);
  if (backend == nullptr) {
    model_ = model;
    engine_.metrics().Count("escalations_without_server");
    return false;
  }
  engine_.BudgetFor(service_).OnRepeat(now);
  LogEvent event{"request_escalated",
                 {{"request", request_id_},
                  {"model", route_->models[model]},
                  {"confidence", std::to_string(*confidence)},
                  {"next", route_->models[model_]}}};
  AddInputs(state, choice, event);
  engine_.Log(event);
  left_.push_back(server_->id);
  progress_.may_return = true;
  OnSendLeft(now);
  FinishAttempt(SendOutcome::kAnswered);
  progress_.servers_used += 1;
  tried_.clear();
  Send(*backend);
  return true;
}

}  // namespace zinniastep
