#ifndef LIBZINNIASTEP_CASCADE_CASCADE_PLAN_H_
#define LIBZINNIASTEP_CASCADE_CASCADE_PLAN_H_

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/configuration/document.h"
#include "libzinniastep/core/action.h"

namespace zinniastep {

// The estimated quality, cost and value of a candidate when a plan was made.
struct CandidateEstimate {
  ModelVersion version;
  // Quality that the configuration document gives, before any rating.
  double prior_quality = 0.0;
  double expected_quality = 0.0;
  double quality_deviation = 0.0;
  // Expected cost of this version alone.
  MicroMoney expected_cost = 0;
  // Value of a plan that starts with this version, later steps included: the
  // quality at its current price, less the cost.
  double value = 0.0;
};

// The versions that a request runs on, in order, and the thresholds for
// escalation to the next version.
struct CascadePlan {
  ClientAccountId account;
  TaskClassId task_class;
  // The first step, and the steps to escalate to when an answer is rejected.
  std::vector<ModelVersion> steps;
  // For each step, the least expected quality at which its answer is accepted.
  std::vector<double> accept_from;
  // Whether the answer is held for evaluation or streamed as it arrives.
  Delivery delivery = Delivery::kStream;
  double quality_target = 0.0;
  // Whether at least one candidate is expected to meet the target.
  bool target_reachable = true;
  // Whether the first step was chosen to explore its quality.
  bool exploring = false;
  // All candidates, for the explanation of the decision.
  std::vector<CandidateEstimate> candidates;
  std::string reason;
};

// The answer goes to the caller.
struct AnswerAccepted {
  double expected_quality = 0.0;
};
// The expected quality is too low; the request runs again on the next step.
struct AnswerEscalated {
  std::size_t step = 0;
  ModelVersion version;
  double expected_quality = 0.0;
};
using AnswerVerdict = std::variant<AnswerAccepted, AnswerEscalated>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CASCADE_CASCADE_PLAN_H_
