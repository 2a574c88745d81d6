#include "libzinniastep/report/report_writer.h"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <string_view>

#include <nlohmann/json.hpp>

namespace zinniastep {

namespace {

constexpr double kMicro = 1e6;
constexpr double kPercent = 100.0;
constexpr int kNameWidth = 28;
constexpr int kNumberWidth = 14;
constexpr int kMoneyDigits = 6;
constexpr int kShareDigits = 3;

auto Fixed(double value, int digits) -> std::string {
  std::ostringstream text;
  text << std::fixed << std::setprecision(digits) << value;
  return text.str();
}

auto Row(std::initializer_list<std::string> cells) -> std::string {
  std::ostringstream row;
  for (const std::string& cell : cells) {
    row << std::left << std::setw(row.tellp() == 0 ? kNameWidth : kNumberWidth)
        << cell << ' ';
  }
  std::string text = row.str();
  text.erase(text.find_last_not_of(' ') + 1);
  return text + "\n";
}

auto Quality(const AccountCost& cost) -> std::string {
  return cost.ratings == 0 ? "unrated" : Fixed(cost.quality, kShareDigits);
}

auto Escaped(std::string_view text) -> std::string {
  std::string escaped;
  for (const char letter : text) {
    switch (letter) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += letter;
    }
  }
  return escaped;
}

// Returns a table cell with a bar of this part of the full width.
auto Bar(double part, const std::string& label) -> std::string {
  const double percent = kPercent * std::clamp(part, 0.0, 1.0);
  return "<td><div class=\"bar\" style=\"width:" + Fixed(percent, 1) +
         "%\"></div>" + Escaped(label) + "</td>";
}

auto Cell(const std::string& text) -> std::string {
  return "<td>" + Escaped(text) + "</td>";
}

auto CostRows(const Report& report) -> std::string {
  double highest = 1.0;
  for (const AccountCost& cost : report.costs) {
    highest = std::max(highest, cost.cost_per_request);
  }
  std::string rows;
  for (const AccountCost& cost : report.costs) {
    rows += "<tr>" + Cell(cost.account.text()) +
            Cell(std::to_string(cost.requests)) +
            Bar(cost.cost_per_request / highest,
                Fixed(cost.cost_per_request / kMicro, kMoneyDigits)) +
            Cell(Quality(cost)) +
            Cell(Fixed(cost.quality_target, kShareDigits)) +
            Cell(cost.target_met ? "met" : "missed") + "</tr>\n";
  }
  return rows;
}

auto ExposureRows(const Report& report) -> std::string {
  std::string rows;
  for (const VersionExposure& exposure : report.exposures) {
    rows += std::string(exposure.bad ? "<tr class=\"bad\">" : "<tr>") +
            Cell(exposure.account.text()) + Cell(ToString(exposure.version)) +
            Cell(std::to_string(exposure.time)) +
            Cell(std::to_string(exposure.touched)) +
            Bar(exposure.share, Fixed(kPercent * exposure.share, 1) + "%") +
            Cell(exposure.reason) + "</tr>\n";
  }
  return rows;
}

}  // namespace

auto ReportAsTable(const Report& report) -> std::string {
  std::string text = "Cost a request at the agreed quality\n";
  text += Row(
      {"account", "requests", "cost", "a request", "quality", "target", "met"});
  for (const AccountCost& cost : report.costs) {
    text += Row({cost.account.text(), std::to_string(cost.requests),
                 Fixed(static_cast<double>(cost.cost) / kMicro, kMoneyDigits),
                 Fixed(cost.cost_per_request / kMicro, kMoneyDigits),
                 Quality(cost), Fixed(cost.quality_target, kShareDigits),
                 cost.target_met ? "yes" : "no"});
  }
  text += "\nTraffic by version\n";
  text +=
      Row({"account", "version", "time", "touched", "share", "bad", "reason"});
  for (const VersionExposure& exposure : report.exposures) {
    text +=
        Row({exposure.account.text(), ToString(exposure.version),
             std::to_string(exposure.time), std::to_string(exposure.touched),
             Fixed(kPercent * exposure.share, 1) + "%",
             exposure.bad ? "bad" : "", exposure.reason});
  }
  return text + "\nRequests " + std::to_string(report.requests) + ", cost " +
         Fixed(static_cast<double>(report.cost) / kMicro, kMoneyDigits) +
         ", touched a bad version " + std::to_string(report.bad_touched) + "\n";
}

auto ReportAsJson(const Report& report) -> std::string {
  nlohmann::json costs = nlohmann::json::array();
  for (const AccountCost& cost : report.costs) {
    costs.push_back(
        {{"account", cost.account.text()},
         {"requests", cost.requests},
         {"cost_micro", cost.cost},
         {"cost_micro_per_request", cost.cost_per_request},
         {"quality_target", cost.quality_target},
         {"quality",
          cost.ratings == 0 ? nlohmann::json() : nlohmann::json(cost.quality)},
         {"ratings", cost.ratings},
         {"target_met", cost.target_met}});
  }
  nlohmann::json exposures = nlohmann::json::array();
  for (const VersionExposure& exposure : report.exposures) {
    exposures.push_back({{"account", exposure.account.text()},
                         {"version", ToString(exposure.version)},
                         {"time", exposure.time},
                         {"bad", exposure.bad},
                         {"touched", exposure.touched},
                         {"share", exposure.share},
                         {"reason", exposure.reason}});
  }
  return nlohmann::json{{"costs", std::move(costs)},
                        {"exposures", std::move(exposures)},
                        {"requests", report.requests},
                        {"cost_micro", report.cost},
                        {"bad_touched", report.bad_touched}}
      .dump(2);
}

auto ReportAsHtml(const Report& report) -> std::string {
  constexpr std::string_view kHead = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>zinniastep report</title>
<style>body{font-family:sans-serif}td,th{padding:2px 8px;text-align:left}
td{position:relative}.bar{position:absolute;left:0;top:0;bottom:0;
background:#cde;z-index:-1}.bad{color:#a00}</style></head><body>
)";
  std::string page(kHead);
  page +=
      "<h1>Cost a request at the agreed quality</h1>\n<table><tr>"
      "<th>account<th>requests<th>cost a request<th>quality<th>target"
      "<th></tr>\n";
  page += CostRows(report);
  page +=
      "</table>\n<h1>Traffic by version</h1>\n<table><tr><th>account"
      "<th>version<th>time<th>touched<th>share<th>reason</tr>\n";
  page += ExposureRows(report);
  page += "</table>\n<p>" + std::to_string(report.requests) + " requests, " +
          std::to_string(report.bad_touched) +
          " touched a bad version.</p>\n</body></html>\n";
  return page;
}

}  // namespace zinniastep
