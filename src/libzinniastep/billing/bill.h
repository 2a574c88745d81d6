#ifndef LIBZINNIASTEP_BILLING_BILL_H_
#define LIBZINNIASTEP_BILLING_BILL_H_

#include <cstdint>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/configuration/document.h"

namespace zinniastep {

// How a billed request ended.
enum class BillOutcome : std::uint8_t { kAnswered, kFailed, kUnknown };

// What a request spent on one version: its retries, hedges and escalations.
struct VersionCost {
  // Empty for a plain service.
  ModelVersion version;
  MicroMoney cost = 0;
  std::uint32_t attempts = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t completion_tokens = 0;

  auto operator==(const VersionCost&) const -> bool = default;

  // Reads or writes the cost with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(version, cost, attempts, prompt_tokens, completion_tokens);
  }
};

// What one request is charged with. There is one bill a request, whatever the
// number of its attempts.
struct Bill {
  RequestId request;
  ClientAccountId account;
  TeamId team;
  TaskClassId task_class;
  RegionId region;
  // The version whose answer the caller got; empty when it got none, and for
  // plain services.
  ModelVersion answered;
  BillOutcome outcome = BillOutcome::kAnswered;
  std::vector<VersionCost> costs;
  // Evidence of the answer's quality in [0, 1]; negative without any.
  double quality = -1.0;
  // Minutes since 1970 as the host that took the request counts them, for the
  // report's time axis only.
  std::uint64_t minute = 0;

  auto operator==(const Bill&) const -> bool = default;

  // Reads or writes the bill with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(request, account, team, task_class, region, answered, outcome,
            costs, quality, minute);
  }
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_BILLING_BILL_H_
