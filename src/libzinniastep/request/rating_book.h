#ifndef LIBZINNIASTEP_REQUEST_RATING_BOOK_H_
#define LIBZINNIASTEP_REQUEST_RATING_BOOK_H_

#include <cstddef>
#include <deque>
#include <map>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/cascade/cascade_planner.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/request/request.h"
#include "libzinniastep/rollout/rollouts.h"

namespace zinniastep {

// Answers that the rating service was asked about, the newest few thousand, so
// that a rating can be led back to what it is about.
class RatingBook {
 public:
  RatingBook(CascadePlanner& planner, Rollouts& rollouts);

  // Remembers an answer of the request's current step.
  auto Expect(const Request& request, double confidence) -> void;

  // Takes a rating; one that was not expected, or comes twice, is dropped.
  auto OnRated(const AnswerRated& rated) -> void;

 private:
  struct Asked {
    CascadePlan plan;
    std::size_t step = 0;
    double confidence = -1.0;
  };

  CascadePlanner& planner_;
  Rollouts& rollouts_;
  std::map<RequestId, Asked> asked_;
  std::deque<RequestId> order_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_REQUEST_RATING_BOOK_H_
