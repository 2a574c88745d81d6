#ifndef LIBZINNIASTEP_REQUEST_SETTLEMENT_H_
#define LIBZINNIASTEP_REQUEST_SETTLEMENT_H_

#include <cstdint>

#include "libzinniastep/base/time.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/request/progress.h"
#include "libzinniastep/request/rating_book.h"
#include "libzinniastep/request/request.h"
#include "libzinniastep/request/request_services.h"

namespace zinniastep {

// Decides what an attempt's end means for its request: answered, escalated,
// tried again or failed; and tells claims, credits, bills and learning.
class Settlement {
 public:
  Settlement(RequestServices services, RatingBook& ratings);

  // Takes the end of the request's attempt.
  auto OnAttemptEnded(Instant now,
                      Request& request,
                      const AttemptEnded& ended,
                      Effects& effects) -> Progress;

  // Records the bill of a request that an attempt was sent for. BillSecured
  // follows.
  auto RecordBill(Instant now,
                  const Request& request,
                  BillOutcome outcome,
                  Effects& effects) -> void;

  // Sets the minute, since 1970, that bills are filed under.
  auto SetMinute(std::uint64_t minute) -> void { minute_ = minute; }

  // Ends the claim of a request that fails with this refusal.
  auto ReleaseClaim(Instant now,
                    Request& request,
                    const Refusal& refusal,
                    Effects& effects) -> void;

 private:
  auto ReturnCredit(Instant now,
                    const Attempt& attempt,
                    const AttemptEnded& ended,
                    bool overloaded,
                    Effects& effects) -> void;
  auto Count(const Request& request, const AttemptEnded& ended, bool failed)
      -> void;
  auto OnNotRun(Instant now, Request& request, const Attempt& attempt)
      -> Progress;
  auto OnBroken(Instant now, Request& request, const AttemptEnded& ended)
      -> Progress;
  auto OnAnswer(Instant now,
                Request& request,
                const AttemptEnded& ended,
                Effects& effects) -> Progress;
  auto Accept(Instant now,
              Request& request,
              const AttemptEnded& ended,
              Effects& effects) -> Progress;

  RequestServices services_;
  RatingBook& ratings_;
  std::uint64_t minute_ = 0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_REQUEST_SETTLEMENT_H_
