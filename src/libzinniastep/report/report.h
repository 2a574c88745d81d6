#ifndef LIBZINNIASTEP_REPORT_REPORT_H_
#define LIBZINNIASTEP_REPORT_REPORT_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/configuration/document.h"

namespace zinniastep {

// Billed totals of one account on one version within one span of time, from
// the bill ledgers. A request that ran on several versions has its requests
// counted once, on the version that answered, and its cost on each.
struct ReportEntry {
  ClientAccountId account;
  ModelVersion version;
  // Start of the span, in seconds since 1970; zero when time is not kept.
  std::int64_t time = 0;
  std::uint64_t requests = 0;
  // Attempts on the version, whether or not it answered: an upper bound of the
  // requests that it took part in.
  std::uint64_t touched = 0;
  MicroMoney cost = 0;
  std::uint64_t ratings = 0;
  double rating_sum = 0.0;
};

// What finance reads: money a request at the agreed quality.
struct AccountCost {
  ClientAccountId account;
  std::uint64_t requests = 0;
  MicroMoney cost = 0;
  double cost_per_request = 0.0;
  double quality_target = 0.0;
  // Mean rating; negative when nothing was rated.
  double quality = -1.0;
  std::uint64_t ratings = 0;
  bool target_met = true;
};

// What the product side reads: traffic that touched a bad version.
struct VersionExposure {
  ClientAccountId account;
  ModelVersion version;
  std::int64_t time = 0;
  bool bad = false;
  std::uint64_t touched = 0;
  // Share of the account's requests in the same span that touched the version.
  double share = 0.0;
  std::string reason;
};

// One set of numbers, read as money and as exposure.
struct Report {
  std::vector<AccountCost> costs;
  std::vector<VersionExposure> exposures;
  std::uint64_t requests = 0;
  MicroMoney cost = 0;
  std::uint64_t bad_touched = 0;
};

// Returns the report of all entries. Accounts that no document knows have no
// quality target; versions are bad when a document says so.
[[nodiscard]] auto MakeReport(std::span<const ReportEntry> entries,
                              std::span<const Document> documents) -> Report;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_REPORT_REPORT_H_
