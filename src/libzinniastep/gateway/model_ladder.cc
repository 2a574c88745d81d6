#include "libzinniastep/gateway/model_ladder.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "libzinniastep/gateway/model_choice.h"

namespace zinniastep {

namespace {

// Longest prompts of the bands but the last, in tokens.
constexpr std::array<double, kPromptBands - 1> kLongestPrompts = {512.0, 2048.0,
                                                                  8192.0};
// Sums are decayed in steps of this length.
constexpr Duration kDecayInterval = std::chrono::seconds(1);

// Returns 1 for loads up to `from`, 0 for those of at least `to`, and
// interpolates between them.
auto Fade(double load, double from, double to) -> double {
  return std::clamp((to - load) / (to - from), 0.0, 1.0);
}

auto TimeLeft(const ModelLadderInputs& request) -> Duration {
  return std::min(request.to_target, request.to_deadline);
}

}  // namespace

auto PromptBand(double tokens) -> std::size_t {
  return static_cast<std::size_t>(std::ranges::count_if(
      kLongestPrompts, [tokens](double longest) { return tokens > longest; }));
}

auto ToString(ModelReason reason) -> std::string_view {
  switch (reason) {
    case ModelReason::kFixed:
      return "fixed";
    case ModelReason::kFewAnswers:
      return "few_answers";
    case ModelReason::kOftenKept:
      return "often_kept";
    case ModelReason::kMostlyRejected:
      return "mostly_rejected";
    case ModelReason::kTrial:
      return "trial";
    case ModelReason::kNoTime:
      return "no_time";
    case ModelReason::kConfident:
      return "confident";
    case ModelReason::kLargest:
      return "largest";
    case ModelReason::kNoSends:
      return "no_sends";
    case ModelReason::kOverBudget:
      return "over_budget";
    case ModelReason::kExpectedKept:
      return "expected_kept";
    case ModelReason::kOthersRejected:
      return "others_rejected";
  }
  return "unknown";
}

ModelLadder::ModelLadder(ModelLadderTuning tuning) : tuning_(tuning) {}

auto ModelLadder::TallyOf(Instant now,
                          std::string_view route,
                          std::size_t models) -> RouteTally& {
  auto found = by_route_.find(route);
  if (found == by_route_.end()) {
    found = by_route_.emplace(route, RouteTally()).first;
    found->second.decayed_at = now;
  }
  RouteTally& tally = found->second;
  const Duration age = now - tally.decayed_at;
  const double factor =
      age < kDecayInterval
          ? 1.0
          : std::exp2(-std::chrono::duration<double>(age) / tuning_.half_life);
  for (std::vector<ModelTally>& band : tally.bands) {
    if (band.size() != models) {
      band.assign(models, ModelTally());
    }
    if (factor < 1.0) {
      for (ModelTally& model : band) {
        model.first.Decay(factor);
        model.next.Decay(factor);
      }
    }
  }
  if (factor < 1.0) {
    tally.decayed_at = now;
  }
  return tally;
}

auto ModelLadder::RecordAnswer(Instant now,
                               const ModelLadderInputs& request,
                               std::size_t model,
                               bool is_first,
                               std::uint32_t confidence,
                               Duration took) -> void {
  RouteTally& tally = TallyOf(now, request.route, request.models);
  ModelTally& answers =
      tally.bands.at(PromptBand(request.prompt_tokens)).at(model);
  (is_first ? answers.first : answers.next).Record(confidence, took);
}

auto ModelLadder::LoadedConfidence(double utilization, double lateness) const
    -> double {
  return tuning_.even_confidence *
         std::min(Fade(utilization, tuning_.reduced_from_utilization,
                       tuning_.none_from_utilization),
                  Fade(lateness, tuning_.reduced_from_lateness,
                       tuning_.none_from_lateness));
}

auto ModelLadder::RequiredConfidence(double utilization, double lateness) const
    -> double {
  const double idle =
      Fade(utilization, tuning_.idle_until_utilization,
           tuning_.reduced_from_utilization) *
      Fade(lateness, tuning_.reduced_from_lateness, tuning_.none_from_lateness);
  return LoadedConfidence(utilization, lateness) +
         (tuning_.idle_confidence - tuning_.even_confidence) * idle;
}

auto ModelLadder::RequiredFor(const ModelLadderInputs& request) const
    -> double {
  return request.adapts
             ? RequiredConfidence(request.utilization, request.lateness)
             : LoadedConfidence(request.utilization, request.lateness);
}

auto ModelLadder::RejectedShare(const RouteTally& tally,
                                std::size_t band,
                                std::size_t model,
                                double required) const -> Share {
  ConfidenceTally route;
  for (const std::vector<ModelTally>& models : tally.bands) {
    route += models[model].first;
  }
  const double of_route = route.AnswersBelow(required) /
                          (route.answers + tuning_.route_prior_answers);
  const ConfidenceTally& own = tally.bands.at(band)[model].first;
  return {(own.AnswersBelow(required) + tuning_.band_prior_answers * of_route) /
              (own.answers + tuning_.band_prior_answers),
          route.answers};
}

auto ModelLadder::KeptShare(const RouteTally& tally,
                            std::size_t band,
                            std::size_t model,
                            double required,
                            bool after_rejection) const -> Share {
  const auto answers = [&](const ModelTally& of_model) {
    ConfidenceTally sum = of_model.next;
    if (!after_rejection) {
      sum += of_model.first;
    }
    return sum;
  };
  ConfidenceTally route;
  for (const std::vector<ModelTally>& models : tally.bands) {
    route += answers(models[model]);
  }
  const double of_route = (route.answers - route.AnswersBelow(required)) /
                          (route.answers + tuning_.route_prior_answers);
  const ConfidenceTally own = answers(tally.bands.at(band)[model]);
  return {(own.answers - own.AnswersBelow(required) +
           tuning_.band_prior_answers * of_route) /
              (own.answers + tuning_.band_prior_answers),
          route.answers};
}

auto ModelLadder::MeanStart(const RouteTally& tally, std::size_t model) const
    -> std::optional<double> {
  ConfidenceTally sum;
  for (const std::vector<ModelTally>& models : tally.bands) {
    sum += models[model].first;
    sum += models[model].next;
  }
  if (sum.answers < tuning_.few_answers) {
    return std::nullopt;
  }
  return sum.start_seconds / sum.answers;
}

auto ModelLadder::FitsInTime(const RouteTally& tally,
                             std::size_t model,
                             const ModelLadderInputs& request) const -> bool {
  return MeanStart(tally, model).value_or(0.0) <=
         std::chrono::duration<double>(TimeLeft(request)).count();
}

auto ModelLadder::StartLargerFrom(const RouteTally& tally,
                                  const ModelLadderInputs& request) const
    -> double {
  if (request.sends_left <= 1 || !request.may_repeat) {
    return tuning_.start_larger_from_least;
  }
  const auto smallest = MeanStart(tally, 0);
  const auto largest = MeanStart(tally, request.models - 1);
  if (!smallest.has_value() || !largest.has_value() || *largest <= 0.0) {
    return tuning_.start_larger_from_most;
  }
  // Starting with the smallest model costs its time in the rejected share, and
  // saves the difference of both times in the other.
  return std::clamp(1.0 - *smallest / *largest, tuning_.start_larger_from_least,
                    tuning_.start_larger_from_most);
}

auto ModelLadder::FirstModel(Instant now, const ModelLadderInputs& request)
    -> ModelChoice {
  ModelChoice choice{0, ModelReason::kLargest, RequiredFor(request)};
  if (request.models <= 1) {
    return choice;
  }
  if (!request.adapts) {
    choice.reason = ModelReason::kFixed;
    return choice;
  }
  const RouteTally& tally = TallyOf(now, request.route, request.models);
  const std::size_t band = PromptBand(request.prompt_tokens);
  const Share rejected = RejectedShare(tally, band, 0, choice.required);
  choice.rejected = rejected.value;
  choice.answers = rejected.answers;
  if (rejected.answers < tuning_.few_answers) {
    choice.reason = ModelReason::kFewAnswers;
    return choice;
  }
  if (rejected.value < StartLargerFrom(tally, request)) {
    choice.reason = ModelReason::kOftenKept;
    return choice;
  }
  choice.reason = ModelReason::kNoTime;
  for (std::size_t model = 1; model < request.models; ++model) {
    if (!FitsInTime(tally, model, request)) {
      continue;
    }
    choice.model = model;
    choice.reason = ModelReason::kMostlyRejected;
    if (KeptShare(tally, band, model, choice.required, false).value >=
        tuning_.expected_kept_from) {
      break;
    }
  }
  if (*choice.model > 0 && request.draw < tuning_.trial_share) {
    // The trials are spread evenly over the models that would be skipped.
    choice.model = static_cast<std::size_t>(request.draw / tuning_.trial_share *
                                            static_cast<double>(*choice.model));
    choice.reason = ModelReason::kTrial;
  }
  return choice;
}

auto ModelLadder::NextModel(Instant now,
                            const ModelLadderInputs& request,
                            std::size_t model,
                            std::uint32_t confidence,
                            Duration took) -> ModelChoice {
  ModelChoice choice{std::nullopt, ModelReason::kLargest, RequiredFor(request)};
  if (model + 1 >= request.models) {
    return choice;
  }
  if (confidence >= choice.required) {
    choice.reason = ModelReason::kConfident;
    return choice;
  }
  if (request.sends_left == 0) {
    choice.reason = ModelReason::kNoSends;
    return choice;
  }
  choice.reason = ModelReason::kNoTime;
  if (!LeavesTimeForAnother(took, TimeLeft(request))) {
    return choice;
  }
  const RouteTally& tally = TallyOf(now, request.route, request.models);
  const std::size_t band = PromptBand(request.prompt_tokens);
  const std::size_t first = request.adapts ? model + 1 : request.models - 1;
  for (std::size_t next = first; next < request.models; ++next) {
    if (request.adapts && !FitsInTime(tally, next, request)) {
      continue;
    }
    choice.model = next;
    choice.reason = ModelReason::kOthersRejected;
    if (next + 1 == request.models) {
      break;
    }
    const Share kept = KeptShare(tally, band, next, choice.required, true);
    if (kept.value >= tuning_.expected_kept_from) {
      choice.reason = ModelReason::kExpectedKept;
      break;
    }
    if (kept.answers < tuning_.few_answers &&
        request.draw < tuning_.trial_share) {
      choice.reason = ModelReason::kTrial;
      break;
    }
  }
  if (choice.model.has_value() && !request.may_repeat) {
    choice.model = std::nullopt;
    choice.reason = ModelReason::kOverBudget;
  }
  return choice;
}

auto ModelLadder::RelativeStart(Instant now,
                                std::string_view route,
                                std::size_t model) -> double {
  const auto found = by_route_.find(route);
  if (found == by_route_.end() || model >= found->second.bands[0].size()) {
    return 1.0;
  }
  const RouteTally& tally = TallyOf(now, route, found->second.bands[0].size());
  const auto smallest = MeanStart(tally, 0);
  const auto own = MeanStart(tally, model);
  if (!smallest.has_value() || !own.has_value() || *smallest <= 0.0) {
    return 1.0;
  }
  return std::max(1.0, *own / *smallest);
}

auto ModelLadder::KeepIf(const std::function<bool(const std::string&)>& keep)
    -> void {
  std::erase_if(by_route_,
                [&keep](const auto& route) { return !keep(route.first); });
}

}  // namespace zinniastep
