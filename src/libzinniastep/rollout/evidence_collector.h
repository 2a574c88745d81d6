#ifndef LIBZINNIASTEP_ROLLOUT_EVIDENCE_COLLECTOR_H_
#define LIBZINNIASTEP_ROLLOUT_EVIDENCE_COLLECTOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/cascade/quality_model.h"
#include "libzinniastep/rollout/evidence.h"
#include "libzinniastep/rollout/messages.h"

namespace zinniastep {

// Sums the reports of all hosts about the models that this host collects. Hosts
// are identified by incarnation, and each report contains complete sums.
// Duplicate and late reports therefore change nothing, and a new collector has
// all sums after one round of reports.
class EvidenceCollector {
 public:
  // Stores a report unless its revision is no newer than that of the host's
  // stored report. Returns the sums of all other hosts for the report's scopes,
  // or no rows when the limit of reporters is reached.
  auto Collect(Instant now, Incarnation sender, const EvidenceReport& report)
      -> EvidenceTotals;

  // Returns the sums of all hosts but one for all scopes of a model.
  [[nodiscard]] auto TotalsWithout(Incarnation sender,
                                   const std::string& model) const
      -> EvidenceTotals;

  // Removes the sums of hosts whose last report is too old.
  auto OnTime(Instant now) -> void;

  // Returns the number of stored reporters, one for each host and model.
  [[nodiscard]] auto size() const -> std::size_t { return reporters_.size(); }

 private:
  // The last reported sums of one host about one model.
  struct Reporter {
    Instant reported_at{};
    std::uint64_t revision = 0;
    std::map<EvidenceScope, EvidenceSums> rows;
    std::map<QualityKey, QualityCell> quality_rows;
  };
  using ReporterKey = std::pair<Incarnation, std::string>;

  // Returns the sums of all hosts but the reporter.
  [[nodiscard]] auto RowWithout(const Reporter& reporter,
                                const EvidenceScope& scope) const
      -> EvidenceRow;
  [[nodiscard]] auto RowWithout(const Reporter& reporter,
                                const QualityKey& key) const -> QualityRow;
  auto Replace(Reporter& reporter, const EvidenceReport& report) -> void;

  std::map<ReporterKey, Reporter> reporters_;
  // Sums over all reporters.
  std::map<EvidenceScope, EvidenceSums> rows_;
  std::map<QualityKey, QualityCell> quality_rows_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_ROLLOUT_EVIDENCE_COLLECTOR_H_
