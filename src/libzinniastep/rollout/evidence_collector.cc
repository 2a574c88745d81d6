#include "libzinniastep/rollout/evidence_collector.h"

#include <algorithm>
#include <chrono>

namespace zinniastep {

namespace {

constexpr Duration kReporterLifetime = std::chrono::hours(1);
constexpr std::size_t kMaxReporters = 8192;
constexpr std::size_t kMaxRows = 4096;

auto Subtract(QualityCell& sum, const QualityCell& part) -> void {
  QualityCell negative = part;
  negative.Decay(-1.0);
  sum += negative;
}

// Replaces one reporter's part of a sum. A new key is ignored when there are
// kMaxRows sums already.
template <class Key, class Sums, class Remove>
auto ReplacePart(std::map<Key, Sums>& sums,
                 std::map<Key, Sums>& parts,
                 const Key& key,
                 const Sums& part,
                 Remove remove) -> void {
  const auto old_part = parts.find(key);
  if (old_part == parts.end() && !sums.contains(key) &&
      sums.size() >= kMaxRows) {
    return;
  }
  Sums& sum = sums[key];
  if (old_part != parts.end()) {
    remove(sum, old_part->second);
  }
  sum += part;
  parts[key] = part;
}

template <class Key, class Sums>
auto Find(const std::map<Key, Sums>& sums, const Key& key) -> Sums {
  const auto found = sums.find(key);
  return found == sums.end() ? Sums() : found->second;
}

auto Remove(EvidenceSums& sum, const EvidenceSums& part) -> void {
  sum = sum.Since(part);
}

}  // namespace

auto EvidenceCollector::Replace(Reporter& reporter,
                                const EvidenceReport& report) -> void {
  for (const EvidenceRow& row : report.rows) {
    ReplacePart(rows_, reporter.rows, row.scope, row.sums, Remove);
  }
  for (const QualityRow& row : report.quality_rows) {
    ReplacePart(quality_rows_, reporter.quality_rows, row.key, row.cell,
                Subtract);
  }
}

auto EvidenceCollector::Collect(Instant now,
                                Incarnation sender,
                                const EvidenceReport& report)
    -> EvidenceTotals {
  EvidenceTotals totals;
  totals.model = report.model;
  totals.revision = report.revision;
  const ReporterKey key{sender, report.model};
  if (reporters_.size() >= kMaxReporters && !reporters_.contains(key)) {
    return totals;
  }
  Reporter& reporter = reporters_[key];
  reporter.reported_at = now;
  if (report.revision > reporter.revision) {
    reporter.revision = report.revision;
    Replace(reporter, report);
  }
  for (const EvidenceRow& row : report.rows) {
    totals.rows.push_back(RowWithout(reporter, row.scope));
  }
  for (const QualityRow& row : report.quality_rows) {
    totals.quality_rows.push_back(RowWithout(reporter, row.key));
  }
  return totals;
}

auto EvidenceCollector::RowWithout(const Reporter& reporter,
                                   const EvidenceScope& scope) const
    -> EvidenceRow {
  return {scope, Find(rows_, scope).Since(Find(reporter.rows, scope))};
}

auto EvidenceCollector::RowWithout(const Reporter& reporter,
                                   const QualityKey& key) const -> QualityRow {
  QualityRow row{key, Find(quality_rows_, key)};
  Subtract(row.cell, Find(reporter.quality_rows, key));
  return row;
}

auto EvidenceCollector::TotalsWithout(Incarnation sender,
                                      const std::string& model) const
    -> EvidenceTotals {
  EvidenceTotals totals;
  totals.model = model;
  const auto found = reporters_.find({sender, model});
  const Reporter none;
  const Reporter& reporter = found == reporters_.end() ? none : found->second;
  for (const auto& [scope, sums] : rows_) {
    if (scope.version.model == model) {
      totals.rows.push_back(RowWithout(reporter, scope));
    }
  }
  for (const auto& [key, cell] : quality_rows_) {
    if (key.version.model == model) {
      totals.quality_rows.push_back(RowWithout(reporter, key));
    }
  }
  return totals;
}

auto EvidenceCollector::OnTime(Instant now) -> void {
  for (auto it = reporters_.begin(); it != reporters_.end();) {
    if (now - it->second.reported_at < kReporterLifetime) {
      ++it;
      continue;
    }
    for (const auto& [scope, sums] : it->second.rows) {
      Remove(rows_[scope], sums);
    }
    for (const auto& [key, cell] : it->second.quality_rows) {
      Subtract(quality_rows_[key], cell);
    }
    it = reporters_.erase(it);
  }
}

}  // namespace zinniastep
