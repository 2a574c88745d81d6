#include "libzinniastep/report/bill_report.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace zinniastep {

auto ReportEntries(const BillTotals& totals) -> std::vector<ReportEntry> {
  constexpr std::int64_t kSecondsPerHour = 3600;
  using Key = std::tuple<ClientAccountId, ModelVersion, std::uint64_t>;
  std::map<Key, ReportEntry> entries;
  for (const auto& [key, line] : totals.lines()) {
    ReportEntry& entry = entries[{key.account, key.version, key.hour}];
    entry.account = key.account;
    entry.version = key.version;
    entry.time = static_cast<std::int64_t>(key.hour) * kSecondsPerHour;
    entry.requests += line.requests;
    entry.touched += std::max(line.requests, line.attempts);
    entry.cost += line.cost;
    entry.ratings += line.quality_count;
    entry.rating_sum += line.quality_sum;
  }
  std::vector<ReportEntry> list;
  list.reserve(entries.size());
  for (auto& [key, entry] : entries) {
    list.push_back(std::move(entry));
  }
  return list;
}

}  // namespace zinniastep
