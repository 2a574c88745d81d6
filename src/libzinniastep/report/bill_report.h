#ifndef LIBZINNIASTEP_REPORT_BILL_REPORT_H_
#define LIBZINNIASTEP_REPORT_BILL_REPORT_H_

#include <vector>

#include "libzinniastep/billing/bill_totals.h"
#include "libzinniastep/report/report.h"

namespace zinniastep {

// Returns the report's entries from the totals of bills, one an account,
// version and hour.
[[nodiscard]] auto ReportEntries(const BillTotals& totals)
    -> std::vector<ReportEntry>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_REPORT_BILL_REPORT_H_
