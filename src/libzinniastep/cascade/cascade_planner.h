#ifndef LIBZINNIASTEP_CASCADE_CASCADE_PLANNER_H_
#define LIBZINNIASTEP_CASCADE_CASCADE_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/cascade/cascade_plan.h"
#include "libzinniastep/cascade/quality_model.h"
#include "libzinniastep/configuration/document.h"
#include "libzinniastep/core/call.h"

namespace zinniastep {

// Limits of exploration and of the ratings that are requested.
struct CascadeOptions {
  // Share of answers sent to the rating service, and the most per second.
  double rated_share = 0.1;
  double max_ratings_per_second = 20.0;
  // Share of requests that may start on a version to explore its quality.
  double explored_share = 0.02;
  // Added to the quality target, so that estimation errors do not cause a
  // shortfall.
  double quality_margin = 0.005;
};

// Chooses the versions that requests run on, so that the answers of each
// account reach its quality target on average at the least cost. Each account
// has a price of quality, which rises while the answers fall short of the
// target and falls while the answers exceed it. A plan maximizes the quality,
// valued at that price, less the cost.
class CascadePlanner {
 public:
  explicit CascadePlanner(CascadeOptions options = {});

  // Returns the plan for a request. `candidates` holds at least one version, in
  // any order; the account may use each of them, and each is in service.
  [[nodiscard]] auto Plan(const AccountRule& account,
                          const Document& document,
                          const ChatCall& call,
                          std::span<const ModelVersion> candidates,
                          const RequestId& request) const -> CascadePlan;

  // Accepts or escalates the complete answer of a step and updates the model
  // with it. Must be called once for each complete answer, also for streamed
  // answers, which are always accepted.
  auto EvaluateAnswer(const CascadePlan& plan,
                      std::size_t step,
                      const AttemptUsage& usage) -> AnswerVerdict;

  // Updates the model with a rating of an accepted answer.
  auto OnRating(const CascadePlan& plan,
                std::size_t step,
                double rating,
                double confidence) -> void;

  // Updates the model with a rating when the plan is not available.
  auto OnRating(const ClientAccountId& account,
                const TaskClassId& task_class,
                const ModelVersion& version,
                double rating,
                double confidence) -> void;

  // Returns whether to send the answer of a request to the rating service. The
  // rate is bounded. Accounts with few ratings and versions that are on trial
  // in a roll-out have preference.
  [[nodiscard]] auto ShouldRate(Instant now,
                                const RequestId& request,
                                const ClientAccountId& account,
                                bool on_trial = false) -> bool;

  // Decays old ratings.
  auto OnTime(Instant now) -> void;

  // Returns the quality model, for exchange with other hosts.
  [[nodiscard]] auto quality_model() -> QualityModel& { return quality_; }

 private:
  // The price of quality of an account, and its quality against the target.
  struct AccountState {
    double log_price = 0.0;
    // Moving average of the cost of a request on its costliest candidate, the
    // unit of the price.
    double cost_unit = 0.0;
    double answers = 0.0;
    // Decayed sum of expected quality less the target.
    double surplus = 0.0;
    std::uint64_t rated = 0;
    // Decayed count of rated answers, and decayed sum of rated less expected
    // quality.
    double rated_weight = 0.0;
    double rating_error = 0.0;
  };
  // Key of the recent mean answer length of a version in a task class.
  struct LengthKey {
    TaskClassId task_class;
    ModelVersion version;
    auto operator<=>(const LengthKey&) const = default;
  };
  struct Step;

  [[nodiscard]] auto StateOf(const ClientAccountId& account) const
      -> AccountState;
  [[nodiscard]] auto MutableState(const ClientAccountId& account)
      -> AccountState&;
  [[nodiscard]] auto BuildSteps(const AccountRule& account,
                                const Document& document,
                                const ChatCall& call,
                                std::span<const ModelVersion> candidates) const
      -> std::vector<Step>;
  // Returns the index of the first step to run.
  [[nodiscard]] auto ChooseFirstStep(const std::vector<Step>& steps,
                                     const AccountState& state,
                                     const RequestId& request,
                                     CascadePlan& plan) const -> std::size_t;
  [[nodiscard]] auto ExpectedCost(const VersionRule& rule,
                                  const ChatCall& call) const -> double;
  auto RecordAnswer(const CascadePlan& plan,
                    const QualityKey& key,
                    const AttemptUsage& usage) -> void;
  auto UpdatePrice(const CascadePlan& plan, double expected_quality) -> void;

  CascadeOptions options_;
  QualityModel quality_;
  std::map<ClientAccountId, AccountState> accounts_;
  std::map<LengthKey, double> mean_lengths_;
  Instant ratings_refilled_{};
  double rating_allowance_ = 0.0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CASCADE_CASCADE_PLANNER_H_
