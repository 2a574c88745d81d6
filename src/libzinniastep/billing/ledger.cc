#include "libzinniastep/billing/ledger.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <limits>
#include <utility>

#include <nlohmann/json.hpp>

#include "libzinniastep/base/bounded_json.h"

namespace zinniastep {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kFolder = "bills/";
constexpr int kHexadecimal = 16;
constexpr int kDecimal = 10;

template <class Number>
auto ParseNumber(std::string_view text, int base, Number& number) -> bool {
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number, base);
  return error == std::errc() && end == text.data() + text.size();
}

auto LineToJson(const TotalsKey& key, const TotalsLine& line) -> Json {
  return Json{{"account", key.account.text()},
              {"team", key.team.text()},
              {"task_class", key.task_class.text()},
              {"region", key.region.text()},
              {"model", key.version.model},
              {"version", key.version.version},
              {"hour", key.hour},
              {"requests", line.requests},
              {"failed", line.failed},
              {"unknown", line.unknown},
              {"attempts", line.attempts},
              {"cost_micros", line.cost},
              {"prompt_tokens", line.prompt_tokens},
              {"completion_tokens", line.completion_tokens},
              {"quality_sum", line.quality_sum},
              {"quality_count", line.quality_count}};
}

auto LinesToJson(const BillTotals& totals) -> Json {
  Json lines = Json::array();
  for (const auto& [key, line] : totals.lines()) {
    lines.push_back(LineToJson(key, line));
  }
  return lines;
}

auto AddLine(const Json& json, BillTotals& totals) -> void {
  TotalsKey key;
  key.account = ClientAccountId(json.at("account").get<std::string>());
  key.team = TeamId(json.at("team").get<std::string>());
  key.task_class = TaskClassId(json.at("task_class").get<std::string>());
  key.region = RegionId(json.at("region").get<std::string>());
  key.version = {json.at("model").get<std::string>(),
                 json.at("version").get<std::string>()};
  key.hour = WholeOrThrow(json.at("hour"));
  TotalsLine line;
  line.requests = WholeOrThrow(json.at("requests"));
  line.failed = WholeOrThrow(json.at("failed"));
  line.unknown = WholeOrThrow(json.at("unknown"));
  line.attempts = WholeOrThrow(json.at("attempts"));
  line.cost = json.at("cost_micros").get<MicroMoney>();
  line.prompt_tokens = WholeOrThrow(json.at("prompt_tokens"));
  line.completion_tokens = WholeOrThrow(json.at("completion_tokens"));
  line.quality_sum = json.at("quality_sum").get<double>();
  line.quality_count = WholeOrThrow(json.at("quality_count"));
  totals.Add(key, line);
}

}  // namespace

auto Ledger::Holds(std::uint64_t number) const -> bool {
  return number <= mark ||
         std::any_of(taken.begin(), taken.end(),
                     [number](const BillRange& range) {
                       return range.first <= number && number <= range.last;
                     });
}

auto LedgerPath(const LedgerId& id) -> ObjectPath {
  std::array<char, 48> text{};
  std::snprintf(text.data(), text.size(), "%s%016llx-%u", kFolder.data(),
                static_cast<unsigned long long>(id.incarnation), id.part);
  return ObjectPath(text.data());
}

auto ParseLedgerPath(std::string_view path) -> absl::StatusOr<LedgerId> {
  LedgerId id;
  if (!path.starts_with(kFolder)) {
    return absl::InvalidArgumentError("not below bills/");
  }
  path.remove_prefix(kFolder.size());
  const std::size_t dash = path.find('-');
  if (dash == std::string_view::npos ||
      !ParseNumber(path.substr(0, dash), kHexadecimal, id.incarnation) ||
      !ParseNumber(path.substr(dash + 1), kDecimal, id.part)) {
    return absl::InvalidArgumentError("not a ledger's path");
  }
  return id;
}

auto WriteLedger(const Ledger& ledger) -> std::string {
  Json taken = Json::array();
  for (const BillRange& range : ledger.taken) {
    taken.push_back({range.first, range.last});
  }
  return Json{{"incarnation", ledger.id.incarnation},
              {"part", ledger.id.part},
              {"host", ledger.host.text()},
              {"mark", ledger.mark},
              {"sealed", ledger.sealed},
              {"sealed_by", ledger.sealed_by},
              {"taken", std::move(taken)},
              {"taken_totals", LinesToJson(ledger.taken_totals)},
              {"totals", LinesToJson(ledger.totals)}}
      .dump();
}

auto ReadLedger(std::string_view value) -> absl::StatusOr<Ledger> {
  try {
    const Json json = JsonOrThrow(value);
    Ledger ledger;
    ledger.id.incarnation = WholeOrThrow(json.at("incarnation"));
    ledger.id.part = static_cast<std::uint32_t>(WholeOrThrow(
        json.at("part"), std::numeric_limits<std::uint32_t>::max()));
    ledger.host = HostId(json.at("host").get<std::string>());
    ledger.mark = WholeOrThrow(json.at("mark"));
    ledger.sealed = json.at("sealed").get<bool>();
    ledger.sealed_by = WholeOrThrow(json.at("sealed_by"));
    for (const Json& range : json.at("taken")) {
      ledger.taken.push_back(
          {WholeOrThrow(range.at(0)), WholeOrThrow(range.at(1))});
    }
    for (const Json& line : json.at("taken_totals")) {
      AddLine(line, ledger.taken_totals);
    }
    for (const Json& line : json.at("totals")) {
      AddLine(line, ledger.totals);
    }
    return ledger;
  } catch (const Json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

}  // namespace zinniastep
