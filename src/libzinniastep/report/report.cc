#include "libzinniastep/report/report.h"

#include <algorithm>
#include <map>
#include <utility>

namespace zinniastep {

namespace {

auto FindVersion(std::span<const Document> documents,
                 const ModelVersion& version) -> const VersionRule* {
  for (const Document& document : documents) {
    const auto found =
        std::ranges::find(document.versions, version, &VersionRule::id);
    if (found != document.versions.end()) {
      return &*found;
    }
  }
  return nullptr;
}

auto QualityTarget(std::span<const Document> documents,
                   const ClientAccountId& account) -> double {
  for (const Document& document : documents) {
    const auto found =
        std::ranges::find(document.accounts, account, &AccountRule::id);
    if (found != document.accounts.end()) {
      return found->quality_target;
    }
  }
  return 0.0;
}

auto MakeCosts(std::span<const ReportEntry> entries,
               std::span<const Document> documents)
    -> std::vector<AccountCost> {
  std::map<ClientAccountId, AccountCost> by_account;
  std::map<ClientAccountId, double> rating_sums;
  for (const ReportEntry& entry : entries) {
    AccountCost& cost = by_account[entry.account];
    cost.account = entry.account;
    cost.requests += entry.requests;
    cost.cost += entry.cost;
    cost.ratings += entry.ratings;
    rating_sums[entry.account] += entry.rating_sum;
  }
  std::vector<AccountCost> costs;
  for (auto& [account, cost] : by_account) {
    cost.quality_target = QualityTarget(documents, account);
    if (cost.requests > 0) {
      cost.cost_per_request =
          static_cast<double>(cost.cost) / static_cast<double>(cost.requests);
    }
    if (cost.ratings > 0) {
      cost.quality = rating_sums[account] / static_cast<double>(cost.ratings);
      cost.target_met = cost.quality >= cost.quality_target;
    }
    costs.push_back(std::move(cost));
  }
  return costs;
}

auto MakeExposures(std::span<const ReportEntry> entries,
                   std::span<const Document> documents)
    -> std::vector<VersionExposure> {
  using Span = std::pair<ClientAccountId, std::int64_t>;
  using Cell = std::pair<Span, ModelVersion>;
  std::map<Span, std::uint64_t> requests;
  std::map<Cell, std::uint64_t> touched;
  for (const ReportEntry& entry : entries) {
    const Span span{entry.account, entry.time};
    requests[span] += entry.requests;
    touched[{span, entry.version}] += entry.touched;
  }
  std::vector<VersionExposure> exposures;
  for (const auto& [cell, count] : touched) {
    const auto& [span, version] = cell;
    VersionExposure exposure;
    exposure.account = span.first;
    exposure.version = version;
    exposure.time = span.second;
    exposure.touched = count;
    if (requests[span] > 0) {
      exposure.share =
          static_cast<double>(count) / static_cast<double>(requests[span]);
    }
    if (const VersionRule* rule = FindVersion(documents, version)) {
      exposure.bad = rule->bad;
      exposure.reason = rule->reason;
    }
    exposures.push_back(std::move(exposure));
  }
  return exposures;
}

}  // namespace

auto MakeReport(std::span<const ReportEntry> entries,
                std::span<const Document> documents) -> Report {
  Report report;
  report.costs = MakeCosts(entries, documents);
  report.exposures = MakeExposures(entries, documents);
  for (const AccountCost& cost : report.costs) {
    report.requests += cost.requests;
    report.cost += cost.cost;
  }
  for (const VersionExposure& exposure : report.exposures) {
    report.bad_touched += exposure.bad ? exposure.touched : 0;
  }
  return report;
}

}  // namespace zinniastep
