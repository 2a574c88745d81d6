#include "libzinniastep/cascade/cascade_planner.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include "libzinniastep/base/hash.h"

namespace zinniastep {

namespace {

constexpr std::size_t kMaxAccounts = 1024;
constexpr std::size_t kMaxLengths = 1024;
constexpr std::size_t kMaxSteps = 3;
constexpr double kDefaultLength = 300.0;  // tokens
constexpr double kLengthGain = 0.05;
constexpr double kCostUnitGain = 0.02;
constexpr double kInitialLogPrice = 1.5;
constexpr double kMinLogPrice = -3.0;
constexpr double kMaxLogPrice = 6.0;
constexpr double kMinPriceGain = 0.1;
constexpr double kInitialPriceGain = 4.0;
constexpr double kPriceSettlingAnswers = 20.0;     // answers
constexpr double kSurplusDecay = 0.999;            // per answer
constexpr double kRatingErrorDecay = 0.98;         // per rating
constexpr double kRatingErrorPrior = 20.0;         // ratings
constexpr double kMinExplorationDeviation = 0.04;  // deviation of quality
constexpr double kMaxExplorationShortfall = 0.15;  // quality below the target
constexpr std::uint64_t kInitialRatings = 50;
constexpr std::uint64_t kExploreSeed = 0x65787030;
constexpr std::uint64_t kRateSeed = 0x72617465;

auto UnitHash(const RequestId& request, std::uint64_t seed) -> double {
  constexpr double kSpan = 18446744073709551616.0;  // 2^64
  return static_cast<double>(StableHash(ToString(request), seed)) / kSpan;
}

auto FindRule(const Document& document, const ModelVersion& version)
    -> const VersionRule* {
  const auto found =
      std::ranges::find(document.versions, version, &VersionRule::id);
  return found == document.versions.end() ? nullptr : &*found;
}

}  // namespace

// A candidate version during planning.
struct CascadePlanner::Step {
  // Expected quality and value of the version, either as the first step or
  // after an escalation.
  struct Expectation {
    QualityCurve quality;
    double value = 0.0;
  };

  ModelVersion version;
  double prior = 0.0;
  double cost = 0.0;
  Expectation first;
  Expectation escalated;
  // The step to escalate to, and its value.
  std::optional<std::size_t> next;
  double next_value = 0.0;
};

namespace {

// Returns the expected value of a step before its cost. When `can_escalate` is
// true, answers of low expected quality are replaced by the next step.
template <class Expectation>
auto ExpectedValue(const Expectation& expected,
                   double price,
                   bool can_escalate,
                   std::optional<double> next_value) -> double {
  if (!can_escalate || !next_value) {
    return price * expected.quality.overall.mean;
  }
  double value = 0.0;
  for (std::size_t i = 0; i < kConfidenceBins; ++i) {
    value += expected.quality.shares[i] *
             std::max(price * expected.quality.quality_at[i], *next_value);
  }
  return value;
}

// Computes the values of all steps by backward induction; steps are in
// ascending order of cost.
template <class Steps>
auto ValueSteps(Steps& steps, double price, double cost_unit, bool can_escalate)
    -> void {
  for (std::size_t i = steps.size(); i-- > 0;) {
    auto& step = steps[i];
    std::optional<double> next_value;
    for (std::size_t j = i + 1; j < steps.size(); ++j) {
      if (!next_value || steps[j].escalated.value > *next_value) {
        next_value = steps[j].escalated.value;
        step.next = j;
      }
    }
    step.next_value = next_value.value_or(0.0);
    const double cost = step.cost / cost_unit;
    step.first.value =
        ExpectedValue(step.first, price, can_escalate, next_value) - cost;
    step.escalated.value =
        ExpectedValue(step.escalated, price, can_escalate, next_value) - cost;
  }
}

}  // namespace

CascadePlanner::CascadePlanner(CascadeOptions options) : options_(options) {}

auto CascadePlanner::StateOf(const ClientAccountId& account) const
    -> AccountState {
  const auto found = accounts_.find(account);
  return found == accounts_.end() ? AccountState{.log_price = kInitialLogPrice}
                                  : found->second;
}

auto CascadePlanner::MutableState(const ClientAccountId& account)
    -> AccountState& {
  if (accounts_.size() >= kMaxAccounts && !accounts_.contains(account)) {
    accounts_.erase(accounts_.begin());
  }
  return accounts_
      .try_emplace(account, AccountState{.log_price = kInitialLogPrice})
      .first->second;
}

auto CascadePlanner::ExpectedCost(const VersionRule& rule,
                                  const ChatCall& call) const -> double {
  constexpr double kThousand = 1000.0;
  const auto length = mean_lengths_.find({call.task_class, rule.id});
  const double tokens =
      length == mean_lengths_.end() ? kDefaultLength : length->second;
  return static_cast<double>(rule.price.per_request) +
         static_cast<double>(rule.price.per_thousand_prompt_tokens) *
             call.prompt_tokens / kThousand +
         static_cast<double>(rule.price.per_thousand_completion_tokens) *
             tokens / kThousand;
}

auto CascadePlanner::BuildSteps(const AccountRule& account,
                                const Document& document,
                                const ChatCall& call,
                                std::span<const ModelVersion> candidates) const
    -> std::vector<Step> {
  std::vector<Step> steps;
  for (const ModelVersion& version : candidates) {
    const VersionRule* rule = FindRule(document, version);
    if (rule == nullptr || rule->state == VersionState::kWithdrawn) {
      continue;
    }
    Step step;
    step.version = version;
    step.prior = rule->prior_quality;
    step.cost = ExpectedCost(*rule, call);
    step.first.quality = quality_.Curve(
        {account.id, call.task_class, version, false}, step.prior);
    step.escalated.quality = quality_.Curve(
        {account.id, call.task_class, version, true}, step.prior);
    steps.push_back(std::move(step));
  }
  std::ranges::stable_sort(steps, {}, &Step::cost);
  return steps;
}

auto CascadePlanner::ChooseFirstStep(const std::vector<Step>& steps,
                                     const AccountState& state,
                                     const RequestId& request,
                                     CascadePlan& plan) const -> std::size_t {
  const auto mean = [](const Step& step) {
    return step.first.quality.overall.mean;
  };
  const auto value = [](const Step& step) { return step.first.value; };
  const auto best = std::ranges::max_element(steps, {}, mean);
  plan.target_reachable = mean(*best) + best->first.quality.overall.deviation >=
                          plan.quality_target;
  if (!plan.target_reachable) {
    plan.reason = "no candidate is expected to meet the target; the best runs";
    return static_cast<std::size_t>(best - steps.begin());
  }
  plan.reason = "highest value at the account's price of quality";
  const auto first_step = static_cast<std::size_t>(
      std::ranges::max_element(steps, {}, value) - steps.begin());
  if (state.surplus <= 0.0 ||
      UnitHash(request, kExploreSeed) >= options_.explored_share) {
    return first_step;
  }
  for (std::size_t i = first_step; i-- > 0;) {
    const QualityEstimate& quality = steps[i].first.quality.overall;
    if (quality.deviation > kMinExplorationDeviation &&
        quality.mean + quality.deviation >
            plan.quality_target - kMaxExplorationShortfall) {
      plan.exploring = true;
      plan.reason = "explores a version that little is known about";
      return i;
    }
  }
  return first_step;
}

auto CascadePlanner::Plan(const AccountRule& account,
                          const Document& document,
                          const ChatCall& call,
                          std::span<const ModelVersion> candidates,
                          const RequestId& request) const -> CascadePlan {
  CascadePlan plan;
  plan.account = account.id;
  plan.task_class = call.task_class;
  plan.quality_target = account.quality_target;
  std::vector<Step> steps = BuildSteps(account, document, call, candidates);
  if (steps.empty()) {
    plan.target_reachable = false;
    plan.reason = "no candidate serves";
    return plan;
  }
  const bool can_escalate = !call.stream || account.buffer_streams;
  const AccountState state = StateOf(account.id);
  const double price = std::exp(state.log_price);
  const double cost_unit = std::max(
      1.0, state.cost_unit > 0.0 ? state.cost_unit : steps.back().cost);
  ValueSteps(steps, price, cost_unit, can_escalate);
  for (const Step& step : steps) {
    plan.candidates.push_back(
        {step.version, step.prior, step.first.quality.overall.mean,
         step.first.quality.overall.deviation,
         static_cast<MicroMoney>(step.cost), step.first.value});
  }
  std::optional<std::size_t> step =
      ChooseFirstStep(steps, state, request, plan);
  while (step && plan.steps.size() < kMaxSteps) {
    plan.steps.push_back(steps[*step].version);
    plan.accept_from.push_back(steps[*step].next_value / price);
    step = can_escalate && plan.target_reachable ? steps[*step].next
                                                 : std::nullopt;
  }
  const bool held = plan.steps.size() > 1 || !call.stream;
  plan.delivery = held ? Delivery::kHold : Delivery::kStream;
  return plan;
}

auto CascadePlanner::RecordAnswer(const CascadePlan& plan,
                                  const QualityKey& key,
                                  const AttemptUsage& usage) -> void {
  quality_.OnAnswer(key, usage.confidence);
  const LengthKey length_key{plan.task_class, key.version};
  const auto found = mean_lengths_.find(length_key);
  const auto tokens = static_cast<double>(usage.completion_tokens);
  if (found != mean_lengths_.end()) {
    found->second += kLengthGain * (tokens - found->second);
  } else if (mean_lengths_.size() < kMaxLengths) {
    mean_lengths_.emplace(length_key, tokens);
  }
}

auto CascadePlanner::UpdatePrice(const CascadePlan& plan,
                                 double expected_quality) -> void {
  AccountState& state = MutableState(plan.account);
  const double correction =
      state.rating_error / (state.rated_weight + kRatingErrorPrior);
  const double gap = plan.quality_target + options_.quality_margin -
                     (expected_quality + correction);
  const double gain =
      kMinPriceGain +
      kInitialPriceGain / (1.0 + state.answers / kPriceSettlingAnswers);
  if (!plan.candidates.empty()) {
    const auto cost = static_cast<double>(plan.candidates.back().expected_cost);
    state.cost_unit +=
        state.cost_unit > 0.0 ? kCostUnitGain * (cost - state.cost_unit) : cost;
  }
  state.answers += 1.0;
  state.surplus = state.surplus * kSurplusDecay - gap;
  state.log_price =
      std::clamp(state.log_price + gain * gap, kMinLogPrice, kMaxLogPrice);
}

auto CascadePlanner::EvaluateAnswer(const CascadePlan& plan,
                                    std::size_t step,
                                    const AttemptUsage& usage)
    -> AnswerVerdict {
  const QualityKey key{plan.account, plan.task_class, plan.steps[step],
                       step > 0};
  double prior = 0.0;
  for (const CandidateEstimate& candidate : plan.candidates) {
    prior =
        candidate.version == key.version ? candidate.expected_quality : prior;
  }
  const double quality = quality_.EstimateAt(key, prior, usage.confidence).mean;
  RecordAnswer(plan, key, usage);
  const bool may_escalate = plan.delivery == Delivery::kHold &&
                            !plan.exploring && step + 1 < plan.steps.size();
  if (may_escalate && quality < plan.accept_from[step]) {
    return AnswerEscalated{step + 1, plan.steps[step + 1], quality};
  }
  UpdatePrice(plan, quality);
  return AnswerAccepted{quality};
}

auto CascadePlanner::OnRating(const CascadePlan& plan,
                              std::size_t step,
                              double rating,
                              double confidence) -> void {
  const QualityKey key{plan.account, plan.task_class, plan.steps[step],
                       step > 0};
  AccountState& state = MutableState(plan.account);
  const double expected = quality_.EstimateAt(key, rating, confidence).mean;
  state.rated += 1;
  state.rated_weight = state.rated_weight * kRatingErrorDecay + 1.0;
  state.rating_error =
      state.rating_error * kRatingErrorDecay + rating - expected;
  quality_.OnRating(key, rating, confidence);
}

auto CascadePlanner::OnRating(const ClientAccountId& account,
                              const TaskClassId& task_class,
                              const ModelVersion& version,
                              double rating,
                              double confidence) -> void {
  MutableState(account).rated += 1;
  quality_.OnRating({account, task_class, version, false}, rating, confidence);
}

auto CascadePlanner::ShouldRate(Instant now,
                                const RequestId& request,
                                const ClientAccountId& account,
                                bool on_trial) -> bool {
  const double elapsed =
      std::chrono::duration<double>(now - ratings_refilled_).count();
  ratings_refilled_ = now;
  rating_allowance_ =
      std::min(options_.max_ratings_per_second,
               rating_allowance_ + elapsed * options_.max_ratings_per_second);
  const bool wanted = on_trial || StateOf(account).rated < kInitialRatings ||
                      UnitHash(request, kRateSeed) < options_.rated_share;
  if (!wanted || rating_allowance_ < 1.0) {
    return false;
  }
  rating_allowance_ -= 1.0;
  return true;
}

auto CascadePlanner::OnTime(Instant now) -> void {
  quality_.OnTime(now);
}

}  // namespace zinniastep
