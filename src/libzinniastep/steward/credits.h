#ifndef LIBZINNIASTEP_STEWARD_CREDITS_H_
#define LIBZINNIASTEP_STEWARD_CREDITS_H_

#include <cstdint>
#include <span>

#include "libzinniastep/assignment/assignment.h"
#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/configuration/snapshot.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/core/host_identity.h"
#include "libzinniastep/core/notice.h"
#include "libzinniastep/membership/membership.h"
#include "libzinniastep/routing/pool_summary.h"
#include "libzinniastep/steward/credit_ask.h"
#include "libzinniastep/steward/credit_desk.h"
#include "libzinniastep/steward/messages.h"
#include "libzinniastep/steward/placement.h"
#include "libzinniastep/steward/pool_table.h"
#include "libzinniastep/steward/steward.h"
#include "libzinniastep/steward/steward_settings.h"

namespace zinniastep {

// Credits of backend servers, from both sides: the steward that grants those of
// its cells, the desk that asks other stewards on behalf of this host's
// requests, the orders to the cells' servers, and the summaries of all pools.
// A request whose steward is this host is served without any message.
class Credits {
 public:
  Credits(const Membership& membership,
          const Assignment& assignment,
          const ConfigurationSnapshot& configuration,
          StewardSettings settings,
          std::uint64_t seed);

  auto OnTime(Instant now, Effects& effects) -> void;
  auto OnMessage(Instant now,
                 const PeerRef& from,
                 const StewardMessage& message,
                 Effects& effects) -> void;
  auto OnLoadPolled(Instant now, const LoadPolled& polled, Effects& effects)
      -> void;
  auto OnOrderAnswered(Instant now,
                       const OrderAnswered& answered,
                       Effects& effects) -> void;

  // Forgets what has to go back to a lost host.
  auto OnHostLost(const HostId& host) -> void;

  // Asks for a credit; exactly one CreditDecided notice follows, unless the
  // request is cancelled first.
  auto Ask(Instant now, const CreditAsk& ask, Effects& effects) -> void;

  // Gives a credit back with the result of its attempt.
  auto Return(Instant now,
              const Credit& credit,
              const CreditOutcome& outcome,
              Effects& effects) -> void;

  // Gives up waiting for a credit. One that comes all the same is returned.
  auto Cancel(Instant now, const RequestId& request, Effects& effects) -> void;

  // Returns the newest summaries of all pools, with their ages.
  [[nodiscard]] auto pools() const -> std::span<const PoolSummary>;

  [[nodiscard]] auto steward() const -> const Steward& { return steward_; }
  [[nodiscard]] auto desk() const -> const CreditDesk& { return desk_; }

 private:
  auto PassLocalReplies(Instant now, Effects& effects) -> void;

  HostId self_host_;
  Steward steward_;
  CreditDesk desk_;
  PoolTable pool_table_;
  Placement placement_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_STEWARD_CREDITS_H_
