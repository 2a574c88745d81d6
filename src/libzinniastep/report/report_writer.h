#ifndef LIBZINNIASTEP_REPORT_REPORT_WRITER_H_
#define LIBZINNIASTEP_REPORT_REPORT_WRITER_H_

#include <string>

#include "libzinniastep/report/report.h"

namespace zinniastep {

// Returns the report as two text tables.
[[nodiscard]] auto ReportAsTable(const Report& report) -> std::string;

// Returns the report as one JSON object.
[[nodiscard]] auto ReportAsJson(const Report& report) -> std::string;

// Returns the report as an HTML page that needs nothing else, with bars.
[[nodiscard]] auto ReportAsHtml(const Report& report) -> std::string;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_REPORT_REPORT_WRITER_H_
