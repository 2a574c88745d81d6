#ifndef LIBZINNIASTEP_REQUEST_REQUEST_FLOW_H_
#define LIBZINNIASTEP_REQUEST_REQUEST_FLOW_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "libzinniastep/base/time.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/core/notice.h"
#include "libzinniastep/request/dispatcher.h"
#include "libzinniastep/request/intake.h"
#include "libzinniastep/request/rating_book.h"
#include "libzinniastep/request/request_book.h"
#include "libzinniastep/request/request_services.h"
#include "libzinniastep/request/settlement.h"
#include "libzinniastep/routing/admission.h"

namespace zinniastep {

// The way of every request through this host: accepted, admitted, claimed,
// dispatched, answered, billed. Each call gets exactly one CompleteCall or
// RefuseCall.
class RequestFlow {
 public:
  RequestFlow(RequestServices services, Incarnation incarnation);

  // Takes a call; `refusal` is set when the host takes no new work.
  auto OnCall(Instant now,
              const CallArrived& arrival,
              const std::optional<Refusal>& refusal,
              Effects& effects) -> void;
  auto OnCallerGone(Instant now, CallId call, Effects& effects) -> void;
  auto OnAttemptEnded(Instant now, const AttemptEnded& ended, Effects& effects)
      -> void;
  auto OnClaimDecided(Instant now,
                      const ClaimDecided& decided,
                      Effects& effects) -> void;
  auto OnCreditDecided(Instant now,
                       const CreditDecided& decided,
                       Effects& effects) -> void;
  auto OnBillSecured(Instant now, const BillSecured& secured, Effects& effects)
      -> void;
  auto OnTime(Instant now, Effects& effects) -> void;

  // Ends all requests since the host's time is over: those that were never sent
  // as not run, the others as unknown.
  auto EndAll(Instant now, Effects& effects) -> void;

  auto OnRated(const AnswerRated& rated) -> void { ratings_.OnRated(rated); }

  // Sets the minute, since 1970, that bills from now on are filed under.
  auto SetMinute(std::uint64_t minute) -> void {
    settlement_.SetMinute(minute);
  }

  // Returns the number of requests that are not finished.
  [[nodiscard]] auto open() const -> std::size_t { return book_.size(); }

 private:
  auto Apply(Instant now,
             const std::vector<AdmissionDecision>& decisions,
             Effects& effects) -> void;
  auto Begin(Instant now, Request& request, Effects& effects) -> void;
  auto Answer(Instant now, Request& request, Effects& effects) -> void;
  auto Fail(Instant now,
            Request& request,
            const Refusal& refusal,
            Effects& effects) -> void;
  auto End(Instant now, Request& request, Effects& effects) -> void;
  auto Forget(Instant now, const RequestId& id, Effects& effects) -> void;
  auto Carry(Instant now, Request& request, Progress progress, Effects& effects)
      -> void;

  RequestServices services_;
  RequestBook book_;
  Intake intake_;
  RatingBook ratings_;
  Dispatcher dispatcher_;
  Settlement settlement_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_REQUEST_REQUEST_FLOW_H_
