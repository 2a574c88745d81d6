#ifndef LIBZINNIASTEP_REQUEST_DISPATCHER_H_
#define LIBZINNIASTEP_REQUEST_DISPATCHER_H_

#include <optional>

#include "libzinniastep/base/time.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/core/notice.h"
#include "libzinniastep/request/intake.h"
#include "libzinniastep/request/progress.h"
#include "libzinniastep/request/request.h"
#include "libzinniastep/request/request_services.h"

namespace zinniastep {

// Brings a request to a backend server: picks a pool, asks its steward for a
// credit, and starts the attempt. What may have changed since the request's
// arrival (withdrawals, failure domains taken out, leaving backend servers) is
// checked again right before the attempt.
class Dispatcher {
 public:
  Dispatcher(RequestServices services, const Intake& intake);

  // Asks for a credit, or waits when no pool can be asked now.
  auto Dispatch(Instant now, Request& request, Effects& effects) -> Progress;

  // Takes the answer to the request for a credit.
  auto OnCredit(Instant now,
                Request& request,
                const CreditDecided& decided,
                Effects& effects) -> Progress;

 private:
  auto Replan(Request& request, Effects& effects) -> std::optional<Refusal>;
  auto Wait(Instant now, Request& request, Duration pause) -> Progress;
  auto OnGranted(Instant now,
                 Request& request,
                 const Credit& credit,
                 Effects& effects) -> Progress;
  [[nodiscard]] auto IsUsable(Instant now,
                              const Request& request,
                              const Credit& credit) const -> bool;
  auto Start(Instant now,
             Request& request,
             const Credit& credit,
             Effects& effects) -> void;
  auto LogRoute(const Request& request, const Credit& credit, Effects& effects)
      -> void;

  RequestServices services_;
  const Intake& intake_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_REQUEST_DISPATCHER_H_
