#include "zinniastepctl/report_command.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "libzinniastep/billing/ledger.h"
#include "libzinniastep/configuration/record_content.h"
#include "libzinniastep/report/bill_report.h"
#include "libzinniastep/report/report.h"
#include "libzinniastep/report/report_writer.h"

namespace zinniastep::ctl {

namespace {

// Adds up all ledgers; returns how many could not be read.
auto ReadLedgers(const std::vector<StoredObject>& objects, BillTotals& totals)
    -> std::size_t {
  std::size_t unreadable = 0;
  for (const StoredObject& object : objects) {
    const auto ledger = ReadLedger(object.value);
    if (!ledger.ok()) {
      ++unreadable;
      continue;
    }
    totals.Add(ledger->totals);
  }
  return unreadable;
}

auto ReadDocuments(const std::vector<StoredObject>& objects)
    -> std::vector<Document> {
  std::vector<Document> documents;
  for (const StoredObject& object : objects) {
    auto parsed = ReadRecord(object.path, object.value);
    if (parsed.ok()) {
      documents.push_back(std::get<Document>(std::move(*parsed.value)));
    }
  }
  return documents;
}

}  // namespace

auto PrintReport(const Session& session, bool html) -> ExitCode {
  const auto bills = session.objects.List("bills/");
  const auto documents = session.objects.List(std::string(kDocumentPrefix));
  if (!bills.ok() || !documents.ok()) {
    session.err << "the object API did not answer\n";
    return ExitCode::kUnreachable;
  }
  BillTotals totals;
  const std::size_t unreadable = ReadLedgers(*bills, totals);
  const Report report =
      MakeReport(ReportEntries(totals), ReadDocuments(*documents));
  session.out << (session.json ? ReportAsJson(report)
                  : html       ? ReportAsHtml(report)
                               : ReportAsTable(report))
              << "\n";
  if (unreadable > 0) {
    session.err << unreadable << " ledgers cannot be read\n";
    return ExitCode::kFindings;
  }
  return ExitCode::kOk;
}

}  // namespace zinniastep::ctl
