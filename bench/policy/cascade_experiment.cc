#include "bench/policy/cascade_experiment.h"

#include <algorithm>
#include <variant>

namespace zinniastep {

namespace {

constexpr std::size_t kExchangeEvery = 50;  // requests
constexpr std::size_t kMostRows = 4096;

// Adds up what requests cost and reached.
class Tally {
 public:
  explicit Tally(const CascadeWorkload& workload)
      : workload_(workload), accounts_(workload.small.size()) {}

  auto Add(std::size_t account, double quality, double cost, double steps)
      -> void {
    accounts_[account].requests += 1.0;
    accounts_[account].quality += quality;
    accounts_[account].cost += cost;
    steps_ += steps;
  }

  [[nodiscard]] auto Outcome() const -> CascadeOutcome {
    CascadeOutcome outcome;
    Sums all;
    Sums large;
    Sums small;
    for (std::size_t i = 0; i < accounts_.size(); ++i) {
      const Sums& sums = accounts_[i];
      const double target = workload_.document.accounts[i].quality_target;
      outcome.accounts_met += sums.quality >= target * sums.requests ? 1 : 0;
      for (Sums* sum : {&all, workload_.small[i] ? &small : &large}) {
        sum->requests += sums.requests;
        sum->quality += sums.quality;
        sum->cost += sums.cost;
      }
    }
    outcome.cost_per_request = all.cost / all.requests;
    outcome.quality = all.quality / all.requests;
    outcome.quality_large = large.quality / large.requests;
    outcome.quality_small = small.quality / small.requests;
    outcome.cost_large = large.cost / large.requests;
    outcome.cost_small = small.cost / small.requests;
    outcome.steps_per_request = steps_ / all.requests;
    return outcome;
  }

 private:
  struct Sums {
    double requests = 0.0;
    double quality = 0.0;
    double cost = 0.0;
  };

  const CascadeWorkload& workload_;
  std::vector<Sums> accounts_;
  double steps_ = 0.0;
};

auto VersionIndex(const Document& document, const ModelVersion& version)
    -> std::size_t {
  const auto found =
      std::ranges::find(document.versions, version, &VersionRule::id);
  return static_cast<std::size_t>(found - document.versions.begin());
}

// Tells each planner what all the others have learned.
auto ExchangeQuality(std::vector<CascadePlanner>& planners) -> void {
  constexpr std::array<const char*, kWorkloadVersions> kModels = {
      "small", "middle", "large"};
  std::vector<std::map<QualityKey, QualityCell>> own(planners.size());
  std::map<QualityKey, QualityCell> all;
  for (std::size_t i = 0; i < planners.size(); ++i) {
    for (const char* model : kModels) {
      for (const QualityRow& row :
           planners[i].quality_model().OwnRows(model, kMostRows)) {
        own[i][row.key] = row.cell;
        all[row.key] += row.cell;
      }
    }
  }
  for (std::size_t i = 0; i < planners.size(); ++i) {
    std::vector<QualityRow> rows;
    for (const auto& [key, cell] : all) {
      QualityCell without = own[i][key];
      without.Decay(-1.0);
      without += cell;
      rows.push_back({key, without});
    }
    planners[i].quality_model().ReplaceOthers(rows);
  }
}

// Runs one request through its plan.
auto RunRequest(CascadePlanner& planner,
                const CascadeWorkload& workload,
                std::size_t index,
                Tally& tally) -> void {
  const WorkloadRequest& request = workload.requests[index];
  const AccountRule& account = workload.document.accounts[request.account];
  std::vector<ModelVersion> candidates;
  for (const VersionRule& rule : workload.document.versions) {
    candidates.push_back(rule.id);
  }
  const RequestId id{1, index};
  const Instant now = Instant() + workload.interval * static_cast<int>(index);
  const CascadePlan plan =
      planner.Plan(account, workload.document, request.call, candidates, id);
  double cost = 0.0;
  std::size_t step = 0;
  while (true) {
    const std::size_t version =
        VersionIndex(workload.document, plan.steps[step]);
    const WorkloadAnswer& answer = request.answers[version];
    cost += answer.cost;
    AttemptUsage usage;
    usage.completion_tokens = answer.tokens;
    usage.confidence = answer.confidence;
    const AnswerVerdict verdict = planner.EvaluateAnswer(plan, step, usage);
    if (const auto* next = std::get_if<AnswerEscalated>(&verdict)) {
      step = next->step;
      continue;
    }
    tally.Add(request.account, answer.quality, cost,
              static_cast<double>(step + 1));
    if (planner.ShouldRate(now, id, account.id)) {
      planner.OnRating(plan, step, answer.quality, answer.confidence);
    }
    break;
  }
  planner.OnTime(now);
}

auto RunThreshold(const CascadeWorkload& workload, double threshold)
    -> CascadeOutcome {
  Tally tally(workload);
  for (const WorkloadRequest& request : workload.requests) {
    const WorkloadAnswer& cheap = request.answers.front();
    const WorkloadAnswer& large = request.answers.back();
    if (cheap.confidence >= threshold) {
      tally.Add(request.account, cheap.quality, cheap.cost, 1.0);
    } else {
      tally.Add(request.account, large.quality, cheap.cost + large.cost, 2.0);
    }
  }
  return tally.Outcome();
}

// Returns the version of the highest quality at this price, less cost.
auto BestAt(const WorkloadRequest& request, double price) -> std::size_t {
  std::size_t best = 0;
  const auto value = [&](std::size_t i) {
    return price * request.answers[i].quality - request.answers[i].cost;
  };
  for (std::size_t i = 1; i < kWorkloadVersions; ++i) {
    best = value(i) > value(best) ? i : best;
  }
  return best;
}

// Returns the lowest price of quality at which the account meets its target.
auto ClairvoyantPrice(const CascadeWorkload& workload, std::size_t account)
    -> double {
  constexpr int kHalvings = 40;
  constexpr double kHighestPrice = 1e7;
  double low = 0.0;
  double high = kHighestPrice;
  for (int i = 0; i < kHalvings; ++i) {
    const double price = (low + high) / 2.0;
    double surplus = 0.0;
    for (const WorkloadRequest& request : workload.requests) {
      if (request.account == account) {
        surplus += request.answers[BestAt(request, price)].quality -
                   workload.document.accounts[account].quality_target;
      }
    }
    (surplus >= 0.0 ? high : low) = price;
  }
  return high;
}

}  // namespace

auto RunPlanner(const CascadeWorkload& workload,
                std::size_t hosts,
                CascadeOptions options) -> CascadeOutcome {
  std::vector<CascadePlanner> planners(hosts, CascadePlanner(options));
  Tally tally(workload);
  for (std::size_t i = 0; i < workload.requests.size(); ++i) {
    RunRequest(planners[i % hosts], workload, i, tally);
    if (hosts > 1 && i % kExchangeEvery == 0) {
      ExchangeQuality(planners);
    }
  }
  return tally.Outcome();
}

auto RunAlways(const CascadeWorkload& workload, std::size_t version)
    -> CascadeOutcome {
  Tally tally(workload);
  for (const WorkloadRequest& request : workload.requests) {
    const WorkloadAnswer& answer = request.answers[version];
    tally.Add(request.account, answer.quality, answer.cost, 1.0);
  }
  return tally.Outcome();
}

auto RunTunedThreshold(const CascadeWorkload& workload) -> CascadeOutcome {
  constexpr int kThresholds = 100;
  const double target = workload.document.accounts.front().quality_target;
  for (int i = 0; i < kThresholds; ++i) {
    const CascadeOutcome outcome =
        RunThreshold(workload, static_cast<double>(i) / kThresholds);
    if (outcome.quality >= target) {
      return outcome;
    }
  }
  return RunThreshold(workload, 2.0);
}

auto RunClairvoyant(const CascadeWorkload& workload) -> CascadeOutcome {
  std::vector<double> prices;
  for (std::size_t i = 0; i < workload.document.accounts.size(); ++i) {
    prices.push_back(ClairvoyantPrice(workload, i));
  }
  Tally tally(workload);
  for (const WorkloadRequest& request : workload.requests) {
    const WorkloadAnswer& answer =
        request.answers[BestAt(request, prices[request.account])];
    tally.Add(request.account, answer.quality, answer.cost, 1.0);
  }
  return tally.Outcome();
}

}  // namespace zinniastep
