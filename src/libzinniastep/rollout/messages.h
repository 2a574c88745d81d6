#ifndef LIBZINNIASTEP_ROLLOUT_MESSAGES_H_
#define LIBZINNIASTEP_ROLLOUT_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/cascade/quality_model.h"
#include "libzinniastep/rollout/evidence.h"

namespace zinniastep {

// The sums of one scope.
struct EvidenceRow {
  EvidenceScope scope;
  EvidenceSums sums;

  // Reads or writes the row with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(scope, sums);
  }
};

// A host's own sums for one model, sent to the model's collector. A later
// revision of the same incarnation replaces an earlier one, row by row.
struct EvidenceReport {
  std::string model;
  std::uint64_t revision = 0;
  std::vector<EvidenceRow> rows;
  std::vector<QualityRow> quality_rows;

  // Reads or writes the report with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(model, revision, rows, quality_rows);
  }
};

// The collector's response to a report: the sums of all hosts but the reporter.
struct EvidenceTotals {
  std::string model;
  // Revision of the report that this message responds to.
  std::uint64_t revision = 0;
  std::vector<EvidenceRow> rows;
  std::vector<QualityRow> quality_rows;

  // Reads or writes the totals with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(model, revision, rows, quality_rows);
  }
};

// Reports that the evidence against a scope is strong enough to give it no new
// work. Each host forwards an alarm when it receives the alarm for the first
// time.
struct EvidenceAlarm {
  EvidenceScope scope;
  // Generation of the document that the alarm was raised under. A newer one
  // that resumes the roll-out lifts it.
  std::uint64_t generation = 0;
  std::string reason;

  // Reads or writes the alarm with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(scope, generation, reason);
  }
};

// The messages about roll-out evidence between hosts.
using EvidenceMessage =
    std::variant<std::monostate, EvidenceReport, EvidenceTotals, EvidenceAlarm>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_ROLLOUT_MESSAGES_H_
