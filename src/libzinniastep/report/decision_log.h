#ifndef LIBZINNIASTEP_REPORT_DECISION_LOG_H_
#define LIBZINNIASTEP_REPORT_DECISION_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <variant>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/cascade/cascade_plan.h"
#include "libzinniastep/core/call.h"
#include "libzinniastep/routing/pool_chooser.h"

namespace zinniastep {

// A version was chosen for a request's first step.
struct VersionChosen {
  CascadePlan plan;
};
// A step's answer was judged.
struct AnswerJudged {
  std::size_t step = 0;
  AnswerVerdict verdict;
};
// A failure domain was chosen for an attempt.
struct PoolChosen {
  ModelVersion version;
  PoolChoice choice;
};
// A request was refused.
struct RequestRefused {
  Refusal refusal;
};
using DecisionDetail =
    std::variant<VersionChosen, AnswerJudged, PoolChosen, RequestRefused>;

// One decision about one request.
struct Decision {
  RequestId request;
  Instant at;
  DecisionDetail detail;
};

// Keeps the most recent decisions of this host, so that operators can ask why
// a request went where it did. Older ones are forgotten.
class DecisionLog {
 public:
  explicit DecisionLog(std::size_t most_decisions = 8192);

  // Adds a decision.
  auto Add(Decision decision) -> void;

  // Returns the decisions about a request, oldest first.
  [[nodiscard]] auto Find(const RequestId& request) const
      -> std::vector<Decision>;

  [[nodiscard]] auto size() const -> std::size_t { return decisions_.size(); }

 private:
  std::size_t most_decisions_;
  std::deque<Decision> decisions_;
};

// Returns the decisions as a JSON array: the candidates, what each was expected
// to cost and to risk, and why one was taken.
[[nodiscard]] auto DecisionsAsJson(const std::vector<Decision>& decisions)
    -> std::string;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_REPORT_DECISION_LOG_H_
