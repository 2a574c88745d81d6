#include "libzinniastep/billing/bill_totals.h"

#include <utility>

namespace zinniastep {

namespace {

constexpr std::uint64_t kMinutesPerHour = 60;

auto KeyFor(const Bill& bill, const ModelVersion& version) -> TotalsKey {
  return TotalsKey{bill.account, bill.team, bill.task_class,
                   bill.region,  version,   bill.minute / kMinutesPerHour};
}

// The version whose line counts the request itself.
auto CountedVersion(const Bill& bill) -> ModelVersion {
  if (bill.answered != ModelVersion{} || bill.costs.empty()) {
    return bill.answered;
  }
  return bill.costs.back().version;
}

}  // namespace

auto TotalsLine::Add(const TotalsLine& other) -> void {
  requests += other.requests;
  failed += other.failed;
  unknown += other.unknown;
  attempts += other.attempts;
  cost += other.cost;
  prompt_tokens += other.prompt_tokens;
  completion_tokens += other.completion_tokens;
  quality_sum += other.quality_sum;
  quality_count += other.quality_count;
}

auto TotalsLine::Subtract(const TotalsLine& other) -> void {
  requests -= other.requests;
  failed -= other.failed;
  unknown -= other.unknown;
  attempts -= other.attempts;
  cost -= other.cost;
  prompt_tokens -= other.prompt_tokens;
  completion_tokens -= other.completion_tokens;
  quality_sum -= other.quality_sum;
  quality_count -= other.quality_count;
}

auto TotalsLine::empty() const -> bool {
  return requests == 0 && failed == 0 && unknown == 0 && attempts == 0 &&
         cost == 0 && prompt_tokens == 0 && completion_tokens == 0 &&
         quality_count == 0;
}

auto BillTotals::Add(const Bill& bill) -> void {
  TotalsLine request;
  request.requests = 1;
  request.failed = bill.outcome == BillOutcome::kFailed ? 1 : 0;
  request.unknown = bill.outcome == BillOutcome::kUnknown ? 1 : 0;
  if (bill.quality >= 0.0) {
    request.quality_sum = bill.quality;
    request.quality_count = 1;
  }
  Add(KeyFor(bill, CountedVersion(bill)), request);
  for (const VersionCost& spent : bill.costs) {
    TotalsLine line;
    line.attempts = spent.attempts;
    line.cost = spent.cost;
    line.prompt_tokens = spent.prompt_tokens;
    line.completion_tokens = spent.completion_tokens;
    Add(KeyFor(bill, spent.version), line);
  }
}

auto BillTotals::Add(const BillTotals& other) -> void {
  for (const auto& [key, line] : other.lines_) {
    Add(key, line);
  }
}

auto BillTotals::Add(const TotalsKey& key, const TotalsLine& line) -> void {
  lines_[key].Add(line);
}

auto BillTotals::Subtract(const BillTotals& other) -> void {
  for (const auto& [key, line] : other.lines_) {
    lines_[key].Subtract(line);
  }
  std::erase_if(lines_, [](const auto& item) { return item.second.empty(); });
}

auto BillTotals::requests() const -> std::uint64_t {
  std::uint64_t sum = 0;
  for (const auto& [key, line] : lines_) {
    sum += line.requests;
  }
  return sum;
}

auto BillTotals::cost() const -> MicroMoney {
  MicroMoney sum = 0;
  for (const auto& [key, line] : lines_) {
    sum += line.cost;
  }
  return sum;
}

}  // namespace zinniastep
