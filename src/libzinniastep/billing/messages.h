#ifndef LIBZINNIASTEP_BILLING_MESSAGES_H_
#define LIBZINNIASTEP_BILLING_MESSAGES_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/billing/bill.h"
#include "libzinniastep/billing/bill_totals.h"
#include "libzinniastep/billing/ledger.h"

namespace zinniastep {

// One bill and its number in its ledger, counted from one.
struct NumberedBill {
  std::uint64_t number = 0;
  Bill bill;

  // Reads or writes the bill with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(number, bill);
  }
};

// The sum of all bills in a range of numbers.
struct FoldedBills {
  BillRange range;
  BillTotals totals;

  // Reads or writes the sum with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(range, totals);
  }
};

// Copies a bill to a witness. What the ledger object holds up to the mark need
// not be kept.
struct CopyBill {
  LedgerId ledger;
  std::uint64_t mark = 0;
  NumberedBill bill;

  // Reads or writes the message with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(ledger, mark, bill);
  }
};

// The witness keeps the bill.
struct BillCopied {
  LedgerId ledger;
  std::uint64_t number = 0;

  // Reads or writes the message with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(ledger, number);
  }
};

// Gives a witness one sum in place of the single bills of the range.
struct FoldBills {
  LedgerId ledger;
  std::uint64_t mark = 0;
  FoldedBills folded;

  // Reads or writes the message with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(ledger, mark, folded);
  }
};

// Tells a witness what the ledger object holds; a closed ledger has no tail.
struct TrimBills {
  LedgerId ledger;
  std::uint64_t mark = 0;
  bool closed = false;

  // Reads or writes the message with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(ledger, mark, closed);
  }
};

// A witness hands a lost host's tail to the successor.
struct HandTail {
  LedgerId ledger;
  std::vector<FoldedBills> folded;
  std::vector<NumberedBill> bills;

  // Reads or writes the message with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(ledger, folded, bills);
  }
};

// The ledger is sealed: a witness need not keep its tail, and a host that woke
// has to begin another one.
struct TailSealed {
  LedgerId ledger;

  // Reads or writes the message with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(ledger);
  }
};

// The messages of this aggregate between hosts.
using BillingMessage = std::variant<std::monostate,
                                    CopyBill,
                                    BillCopied,
                                    FoldBills,
                                    TrimBills,
                                    HandTail,
                                    TailSealed>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_BILLING_MESSAGES_H_
