#ifndef LIBZINNIASTEP_BILLING_LEDGER_H_
#define LIBZINNIASTEP_BILLING_LEDGER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/billing/bill_totals.h"

namespace zinniastep {

// Tells the ledgers of one process apart: it begins a new one when the last
// was sealed or has grown large.
struct LedgerId {
  Incarnation incarnation = 0;
  std::uint32_t part = 0;

  auto operator<=>(const LedgerId&) const = default;

  // Reads or writes the identifier with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(incarnation, part);
  }
};

// Bills first to last of a ledger, both included.
struct BillRange {
  std::uint64_t first = 0;
  std::uint64_t last = 0;

  auto operator<=>(const BillRange&) const = default;

  // Reads or writes the range with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(first, last);
  }
};

// The object that holds one process's bills. The totals hold each bill whose
// number is at most the mark, and those of the ranges taken by the seal.
struct Ledger {
  LedgerId id;
  HostId host;
  std::uint64_t mark = 0;
  bool sealed = false;
  // Which process sealed it.
  Incarnation sealed_by = 0;
  // Bills past the mark that the seal added.
  std::vector<BillRange> taken;
  // The sum of these bills, for a host that woke and has folded some of them.
  BillTotals taken_totals;
  BillTotals totals;

  // Returns whether a bill's number is in the totals.
  [[nodiscard]] auto Holds(std::uint64_t number) const -> bool;
};

// Returns the path of a ledger's object, below "bills/".
[[nodiscard]] auto LedgerPath(const LedgerId& id) -> ObjectPath;

// Returns the ledger that an object's path names.
[[nodiscard]] auto ParseLedgerPath(std::string_view path)
    -> absl::StatusOr<LedgerId>;

// Returns the ledger as the JSON value of its object.
[[nodiscard]] auto WriteLedger(const Ledger& ledger) -> std::string;

// Reads a ledger from the JSON value of its object.
[[nodiscard]] auto ReadLedger(std::string_view value) -> absl::StatusOr<Ledger>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_BILLING_LEDGER_H_
