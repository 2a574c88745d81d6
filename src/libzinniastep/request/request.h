#ifndef LIBZINNIASTEP_REQUEST_REQUEST_H_
#define LIBZINNIASTEP_REQUEST_REQUEST_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/billing/bill.h"
#include "libzinniastep/cascade/cascade_plan.h"
#include "libzinniastep/core/call.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/core/notice.h"
#include "libzinniastep/routing/pool_summary.h"
#include "libzinniastep/session/session_pins.h"

namespace zinniastep {

// Where a request stands on its way.
enum class RequestPhase : std::uint8_t {
  // Waits for its account's turn.
  kQueued,
  // Waits for the verdict on its idempotency key.
  kClaiming,
  // Has no attempt, and waits until it may ask for a credit again.
  kWaiting,
  // Waits for a steward's answer.
  kAskingCredit,
  // Was handed to a backend server.
  kRunning,
  // Is answered, and waits until its bill is safe.
  kSecuringBill,
};

// The one attempt that a request has under way.
struct Attempt {
  AttemptId id;
  Credit credit;
  // Whether bytes may have reached the backend server.
  bool sent = false;
};

// One caller's request, from its admission to its bill.
struct Request {
  RequestId id;
  CallArrived arrival;
  TeamId team;
  ClientAccountId account;
  // The account's weight in sharing capacity.
  double share = 1.0;
  Instant arrived;
  Instant deadline;
  RequestPhase phase = RequestPhase::kQueued;
  // Whether the request must not run a second time even when the first try may
  // have failed.
  bool at_most_once = false;
  // Whether its key's authority granted it.
  bool claimed = false;
  bool caller_gone = false;
  // The versions that the caller's session keeps.
  SessionPins pins;
  // The versions to run on; without steps for plain services.
  CascadePlan plan;
  std::size_t step = 0;
  std::optional<Attempt> attempt;
  std::uint32_t attempts = 0;
  // Whether some attempt's bytes may have reached a backend server.
  bool sent_once = false;
  // Failure domains that refused or failed it since the last wait.
  std::vector<FailureDomainId> tried;
  Instant ask_again;
  std::vector<VersionCost> costs;
  // What the caller gets once the bill is safe.
  SharedAnswer answer;
  ModelVersion answered_version;
  double quality = -1.0;

  // Returns whether it is a request to a model.
  [[nodiscard]] auto chat() const -> const ChatCall* {
    return std::get_if<ChatCall>(&arrival.target);
  }

  // Returns what the current step runs on.
  [[nodiscard]] auto workload() const -> Workload;

  // Returns the version of the current step; empty for plain services.
  [[nodiscard]] auto version() const -> ModelVersion;

  // Adds what an attempt on a version has cost.
  auto AddCost(const ModelVersion& on,
               const Price& price,
               const AttemptUsage& usage) -> void;
};

// Returns the price of one attempt's tokens.
[[nodiscard]] auto CostOf(const Price& price, const AttemptUsage& usage)
    -> MicroMoney;

// Returns "model@version" or the plain service's name.
[[nodiscard]] auto ToString(const Workload& workload) -> std::string;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_REQUEST_REQUEST_H_
