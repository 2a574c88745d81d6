#ifndef LIBZINNIASTEP_STEWARD_CREDIT_DESK_H_
#define LIBZINNIASTEP_STEWARD_CREDIT_DESK_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <variant>
#include <vector>

#include "libzinniastep/assignment/assignment.h"
#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/core/host_identity.h"
#include "libzinniastep/core/notice.h"
#include "libzinniastep/steward/credit_ask.h"
#include "libzinniastep/steward/messages.h"
#include "libzinniastep/steward/steward.h"
#include "libzinniastep/steward/steward_settings.h"

namespace zinniastep {

// Asks stewards for the credits that this host's requests need, and gives them
// back. Lost messages are sent again; each ask ends in one decision.
class CreditDesk {
 public:
  CreditDesk(HostIdentity self,
             const Assignment& assignment,
             Steward& local_steward,
             StewardSettings settings);

  auto OnTime(Instant now, Effects& effects) -> void;

  // Asks for a credit; exactly one CreditDecided notice follows, unless the
  // request is cancelled first. A request has one open ask at a time.
  auto Ask(Instant now, const CreditAsk& ask, Effects& effects) -> void;
  auto Return(Instant now,
              const Credit& credit,
              const CreditOutcome& outcome,
              Effects& effects) -> void;
  auto Cancel(Instant now, const RequestId& request, Effects& effects) -> void;

  auto OnReply(Instant now,
               const HostId& steward,
               const CreditReply& reply,
               Effects& effects) -> void;
  auto OnReturned(const HostId& steward, const CreditReturned& returned)
      -> void;

  // Forgets what has to go back to a lost host.
  auto OnHostLost(const HostId& host) -> void;

  [[nodiscard]] auto open_asks() const -> std::size_t { return asks_.size(); }
  [[nodiscard]] auto open_returns() const -> std::size_t {
    return returns_.size();
  }

 private:
  // A steward's credit, by the steward's number.
  using CreditKey = std::pair<HostId, std::uint64_t>;

  struct OpenAsk {
    CreditAsk ask;
    HostId steward;
    // Cells to try, in order.
    std::vector<std::uint32_t> cells;
    std::size_t next_cell = 0;
    // When each attempt was sent; the cell's first attempt.
    std::vector<Instant> sent;
    std::uint32_t first_attempt = 0;
    Instant next_try;
    Instant give_up;
  };

  struct OpenReturn {
    HostId steward;
    CreditReturn message;
    std::uint32_t tries_left = 0;
    Instant next_try;
  };

  // A withdrawal is not acknowledged: it is sent a few times.
  struct OpenCancel {
    HostId steward;
    CreditCancel message;
    std::uint32_t tries_left = 0;
    Instant next_try;
  };

  auto Send(Instant now, std::uint64_t number, OpenAsk& open, Effects& effects)
      -> void;
  auto OnGranted(Instant now,
                 const HostId& steward,
                 const CreditReply& reply,
                 const GrantedCredit& granted,
                 Effects& effects) -> void;
  auto OnRefused(Instant now,
                 const CreditReply& reply,
                 const RefusedCredit& refused,
                 Effects& effects) -> void;
  auto RenumberAsk(Instant now, std::uint64_t number, Effects& effects) -> void;
  auto ReturnUnused(Instant now,
                    const HostId& steward,
                    std::uint64_t credit,
                    std::uint64_t number,
                    Effects& effects) -> void;
  auto NoteGranted(const HostId& steward,
                   std::uint64_t credit,
                   std::uint64_t number) -> void;
  auto GiveBack(Instant now,
                const HostId& steward,
                const CreditReturn& message,
                Effects& effects) -> void;
  auto Withdraw(Instant now,
                std::uint64_t number,
                const OpenAsk& open,
                Effects& effects) -> void;
  auto SendCancels(Instant now, Effects& effects) -> void;
  auto Refuse(std::uint64_t number, RefusalCause cause, Effects& effects)
      -> void;
  auto Decide(std::uint64_t number,
              std::variant<CreditGranted, CreditRefused> verdict,
              Effects& effects) -> void;
  [[nodiscard]] auto CellOrder(const CreditAsk& ask) const
      -> std::vector<std::uint32_t>;

  const HostIdentity self_;
  const Assignment& assignment_;
  Steward& local_steward_;
  StewardSettings settings_;
  std::map<std::uint64_t, OpenAsk> asks_;
  std::map<RequestId, std::uint64_t> ask_of_request_;
  // Credits in use by the number of their ask.
  std::map<CreditKey, std::uint64_t> used_;
  std::map<CreditKey, OpenReturn> returns_;
  std::vector<OpenCancel> cancels_;
  std::uint64_t last_number_ = 0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_STEWARD_CREDIT_DESK_H_
