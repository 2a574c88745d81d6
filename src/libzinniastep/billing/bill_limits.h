#ifndef LIBZINNIASTEP_BILLING_BILL_LIMITS_H_
#define LIBZINNIASTEP_BILLING_BILL_LIMITS_H_

#include <cstddef>

#include "libzinniastep/base/time.h"

namespace zinniastep {

// Bounds of time, memory and writes of the bill ledgers.
struct BillLimits {
  // Shortest time between two writes of a ledger, and the writes a second that
  // all hosts' ledgers together may cost the object API.
  Duration shortest_flush_period = std::chrono::seconds(2);
  double fleet_writes_per_second = 50.0;
  // A witness that did not answer for this long is joined by another.
  Duration witness_patience = std::chrono::milliseconds(250);
  // After this long one witness is enough where two were wanted.
  Duration one_witness_patience = std::chrono::seconds(1);
  // After this long a bill that is kept nowhere else lets its answer go.
  Duration longest_secure_wait = std::chrono::seconds(4);
  // Bills are folded into totals when this many wait for the object API.
  std::size_t fold_bills = 512;
  // Lines of totals after which a ledger is closed and a new one begun.
  std::size_t ledger_lines = 1500;
  // How long the successor collects the witnesses' tails before it seals:
  // longer than hosts differ in when they see a loss.
  Duration gather_time = std::chrono::seconds(6);
  // A witness repeats its tail of a lost host this often.
  Duration tail_resend = std::chrono::milliseconds(500);
  // A witness keeps a tail for this long after the last word of its host.
  Duration tail_retention = std::chrono::hours(24);
  // Ledgers of processes that nobody saw die are looked for this often.
  Duration orphan_period = std::chrono::minutes(5);
  // A host that did nothing for this long was paused: its ledger may have been
  // sealed.
  Duration pause = std::chrono::seconds(1);
  // First and longest time between two tries at the object API.
  Duration first_retry = std::chrono::milliseconds(200);
  Duration longest_retry = std::chrono::seconds(5);
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_BILLING_BILL_LIMITS_H_
