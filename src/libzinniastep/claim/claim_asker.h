#ifndef LIBZINNIASTEP_CLAIM_CLAIM_ASKER_H_
#define LIBZINNIASTEP_CLAIM_CLAIM_ASKER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/claim/claim_limits.h"
#include "libzinniastep/claim/claim_outbox.h"
#include "libzinniastep/claim/messages.h"
#include "libzinniastep/core/call.h"
#include "libzinniastep/core/cluster_view.h"
#include "libzinniastep/core/effects.h"

namespace zinniastep {

// Asks the authorities for this host's requests and reports what became of
// those that were granted. Asks and reports are repeated until they are
// answered; each request gets one verdict, whatever else arrives later.
class ClaimAsker {
 public:
  ClaimAsker(const ClusterView& cluster, const ClaimLimits& limits);

  // Begins to ask for a request. The ask's patience is set from `deadline`.
  auto Begin(Instant now,
             const ClaimAsk& ask,
             Duration deadline,
             ClaimOutbox& outbox) -> void;

  // Ends a request with an outcome. Without a grant it withdraws the ask.
  auto End(Instant now,
           const RequestId& request,
           ClaimOutcome outcome,
           const SharedAnswer& answer,
           ClaimOutbox& outbox) -> void;

  auto OnVerdict(Instant now,
                 const PeerRef& from,
                 const ClaimVerdict& verdict,
                 ClaimOutbox& outbox,
                 Effects& effects) -> void;
  auto OnReportTaken(const ClaimReportTaken& taken) -> void;
  auto OnTime(Instant now, ClaimOutbox& outbox, Effects& effects) -> void;

  // Returns how many outcomes no authority has taken yet.
  [[nodiscard]] auto open_reports() const -> std::size_t {
    return reports_.size();
  }

 private:
  struct Resend {
    Instant next;
    Duration interval{0};
  };
  struct OpenAsk {
    ClaimAsk ask;
    Instant until;
    Resend resend;
    // Since when membership does not know the key's home.
    std::optional<Instant> home_missing_since;
  };
  struct OpenReport {
    ClaimReport report;
    Instant until;
    Resend resend;
  };

  // Returns the authority of a key, when this host knows it.
  auto AuthorityOf(const KeyDigest& key, const HomeBinding& home) const
      -> std::optional<PeerRef>;
  auto SendAsk(Instant now, OpenAsk& open, ClaimOutbox& outbox) -> void;
  auto SendReport(Instant now, OpenReport& open, ClaimOutbox& outbox) -> void;
  auto AddReport(Instant now, const ClaimReport& report, ClaimOutbox& outbox)
      -> void;
  // Remembers that a request never runs, for a grant that comes late.
  auto RememberNotRun(const RequestId& request) -> void;
  auto ExpireAsks(Instant now, ClaimOutbox& outbox, Effects& effects) -> void;
  auto ResendReports(Instant now, ClaimOutbox& outbox) -> void;

  const ClusterView* cluster_;
  ClaimLimits limits_;
  std::map<RequestId, OpenAsk> asks_;
  // Granted and not yet ended.
  std::map<RequestId, ClaimAsk> granted_;
  std::map<RequestId, OpenReport> reports_;
  std::set<RequestId> not_run_;
  std::deque<RequestId> not_run_order_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CLAIM_CLAIM_ASKER_H_
