#ifndef LIBZINNIASTEP_BILLING_BILL_TOTALS_H_
#define LIBZINNIASTEP_BILLING_BILL_TOTALS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/billing/bill.h"

namespace zinniastep {

// What a line of totals is about.
struct TotalsKey {
  ClientAccountId account;
  TeamId team;
  TaskClassId task_class;
  RegionId region;
  // Empty for plain services and for requests that reached no version.
  ModelVersion version;
  // Hours since 1970.
  std::uint64_t hour = 0;

  auto operator<=>(const TotalsKey&) const = default;

  // Reads or writes the key with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(account, team, task_class, region, version, hour);
  }
};

// Sums over bills. Requests, failures and quality count on the line of the
// version that answered (of the last one tried without an answer), attempts,
// cost and tokens on the line of the version that caused them.
struct TotalsLine {
  std::uint64_t requests = 0;
  std::uint64_t failed = 0;
  std::uint64_t unknown = 0;
  std::uint64_t attempts = 0;
  MicroMoney cost = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t completion_tokens = 0;
  double quality_sum = 0.0;
  std::uint64_t quality_count = 0;

  auto operator==(const TotalsLine&) const -> bool = default;

  // Adds or takes off another line.
  auto Add(const TotalsLine& other) -> void;
  auto Subtract(const TotalsLine& other) -> void;

  // Returns whether the line counts nothing.
  [[nodiscard]] auto empty() const -> bool;

  // Reads or writes the line with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(requests, failed, unknown, attempts, cost, prompt_tokens,
            completion_tokens, quality_sum, quality_count);
  }
};

// Sums of bills by account, team, task class, region, version and hour.
class BillTotals {
 public:
  // Adds one bill, another sum, or one line.
  auto Add(const Bill& bill) -> void;
  auto Add(const BillTotals& other) -> void;
  auto Add(const TotalsKey& key, const TotalsLine& line) -> void;

  // Takes sums off that were added before.
  auto Subtract(const BillTotals& other) -> void;

  // Returns the lines by key.
  [[nodiscard]] auto lines() const -> const std::map<TotalsKey, TotalsLine>& {
    return lines_;
  }
  [[nodiscard]] auto empty() const -> bool { return lines_.empty(); }

  // Returns the number of requests in all lines.
  [[nodiscard]] auto requests() const -> std::uint64_t;

  // Returns the money in all lines.
  [[nodiscard]] auto cost() const -> MicroMoney;

  // Reads or writes the sums with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(lines_);
  }

 private:
  std::map<TotalsKey, TotalsLine> lines_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_BILLING_BILL_TOTALS_H_
