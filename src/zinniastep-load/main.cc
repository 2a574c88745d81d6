#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <string>

#include <docopt/docopt.h>

#include "absl/strings/str_cat.h"
#include "zinniastep-load/load_runner.h"
#include "zinniastep-load/plots.h"
#include "zinniastep-load/summary.h"
#include "zinniastep-load/verdict.h"

namespace {

namespace load = zinniastep::load;
using Arguments = std::map<std::string, docopt::value>;
using nlohmann::json;

constexpr char kUsage[] =
    R"(Sends a seeded open-loop load to entry hosts, compares two loads, or holds
what callers were told against the account of the stand-in.

Usage:
  zinniastep-load run --entry ADDRESS... --profile NAME [--rate N]
                  [--seconds N] [--seed N] [--faults FILE] [--model NAME]
                  [--account NAME] [--direct VERSION] [--operator-key KEY]
                  [--mark TEXT] [--marked-share X] [--json FILE] [--plot PREFIX]
  zinniastep-load compare A B [--json FILE]
  zinniastep-load verdict --result FILE... --backend-account FILE --bills FILE
                  [--document FILE] [--withdrawn VERSION:UNIX_MS...]
                  [--grace-ms N] [--name WORD] [--json FILE]
  zinniastep-load (-h | --help)
  zinniastep-load --version

Options:
  --entry ADDRESS          Entry host as IP:PORT; more are learned from it.
  --profile NAME           coopline, panhandle or stream.
  --rate N                 Calls a second [default: 50].
  --seconds N              Length of the load [default: 10].
  --seed N                 Seed of all draws [default: 1].
  --faults FILE            Time line: [{"at_ms":..,"method":..,"url":..,"body":..}].
  --model NAME             Model of the profile "stream" [default: hen-medium].
  --account NAME           Account of the profile "stream" [default: perth-farms].
  --direct VERSION         The entries are model engines; ask for this version.
  --operator-key KEY       Poll GET /state of each host with this key.
  --mark TEXT              Begins the prompts of some chats, for stand-ins that
                           crash on it (fault "crash_on").
  --marked-share X         Share of the chats with the mark [default: 0.05].
  --json FILE              Write the whole result.
  --plot PREFIX            Write PREFIX.gp for gnuplot, and its data.
  --result FILE            Result of a load.
  --backend-account FILE   Answer of the stand-in's GET /account.
  --bills FILE             Answer of GET /list?prefix=bills/.
  --document FILE          The team's document.
  --withdrawn VERSION:UNIX_MS  A withdrawn version and when that was accepted.
  --grace-ms N             Time until a withdrawal must hold [default: 3000].
  --name WORD              First word of the verdict [default: verdict].
  -h --help                Show this text.
  --version                Show the version.

Exit status: 0 when all is well, 1 for wrong arguments or files, 2 when the
verdict found something that must not be.
)";

auto Fail(const absl::Status& status) -> int {
  std::cerr << status << "\n";
  return 1;
}

auto Number(const docopt::value& value) -> double {
  return std::stod(value.asString());
}

auto ReadFaults(const std::string& path)
    -> absl::StatusOr<std::vector<load::PlannedFault>> {
  const auto list = load::ReadJsonFile(path);
  if (!list.ok()) {
    return list.status();
  }
  std::vector<load::PlannedFault> faults;
  try {
    for (const json& fault : *list) {
      faults.push_back(
          {.at_ms = fault.at("at_ms"),
           .method = fault.value("method", "POST"),
           .url = fault.at("url"),
           .headers = fault.value("headers", std::vector<std::string>()),
           .body = fault.value("body", json())});
    }
  } catch (const json::exception& error) {
    return absl::InvalidArgumentError(absl::StrCat(path, ": ", error.what()));
  }
  return faults;
}

auto WriteJson(const json& value, const docopt::value& path) -> void {
  if (path) {
    std::ofstream(path.asString()) << value.dump() << "\n";
  }
}

auto Run(const Arguments& arguments) -> int {
  load::LoadOptions options;
  auto profile = load::FindProfile(arguments.at("--profile").asString(),
                                   arguments.at("--model").asString(),
                                   arguments.at("--account").asString());
  if (!profile.ok()) {
    return Fail(profile.status());
  }
  options.profile = *std::move(profile);
  if (const auto& mark = arguments.at("--mark")) {
    options.profile.mark = mark.asString();
    options.profile.marked_share = Number(arguments.at("--marked-share"));
  }
  options.entries = arguments.at("--entry").asStringList();
  options.calls_per_second = Number(arguments.at("--rate"));
  options.seconds = Number(arguments.at("--seconds"));
  options.seed = static_cast<std::uint64_t>(Number(arguments.at("--seed")));
  if (const auto& path = arguments.at("--faults")) {
    auto faults = ReadFaults(path.asString());
    if (!faults.ok()) {
      return Fail(faults.status());
    }
    options.faults = *std::move(faults);
  }
  if (const auto& version = arguments.at("--direct")) {
    options.direct_version = version.asString();
  }
  if (const auto& key = arguments.at("--operator-key")) {
    options.operator_key = key.asString();
  }
  const load::LoadResult result = load::LoadRunner(std::move(options)).Run();
  std::cout << load::ToTable(load::Summarise(result));
  if (const auto& path = arguments.at("--json")) {
    if (const auto status = load::WriteResult(result, path.asString());
        !status.ok()) {
      return Fail(status);
    }
  }
  if (const auto& prefix = arguments.at("--plot")) {
    if (const auto status = load::WritePlots(result, prefix.asString());
        !status.ok()) {
      return Fail(status);
    }
  }
  return 0;
}

auto Compare(const Arguments& arguments) -> int {
  const auto a = load::ReadResult(arguments.at("A").asString());
  const auto b = load::ReadResult(arguments.at("B").asString());
  if (!a.ok() || !b.ok()) {
    return Fail(a.ok() ? b.status() : a.status());
  }
  const json comparison = load::Compare(*a, *b);
  std::cout << load::ComparisonTable(comparison);
  WriteJson(comparison, arguments.at("--json"));
  return 0;
}

auto ReadEvidence(const Arguments& arguments)
    -> absl::StatusOr<load::Evidence> {
  load::Evidence evidence;
  for (const std::string& path : arguments.at("--result").asStringList()) {
    auto result = load::ReadResult(path);
    if (!result.ok()) {
      return result.status();
    }
    evidence.results.push_back(*std::move(result));
  }
  const std::vector<std::pair<const char*, json*>> files = {
      {"--backend-account", &evidence.account},
      {"--bills", &evidence.bills},
      {"--document", &evidence.document}};
  for (const auto& [option, target] : files) {
    if (!arguments.at(option)) {
      continue;
    }
    auto value = load::ReadJsonFile(arguments.at(option).asString());
    if (!value.ok()) {
      return value.status();
    }
    *target = *std::move(value);
  }
  for (const std::string& text : arguments.at("--withdrawn").asStringList()) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
      return absl::InvalidArgumentError("--withdrawn needs VERSION:UNIX_MS");
    }
    evidence.withdrawals.push_back(
        {text.substr(0, colon), std::stoll(text.substr(colon + 1))});
  }
  evidence.grace_ms =
      static_cast<std::int64_t>(Number(arguments.at("--grace-ms")));
  return evidence;
}

auto Verdict(const Arguments& arguments) -> int {
  const auto evidence = ReadEvidence(arguments);
  if (!evidence.ok()) {
    return Fail(evidence.status());
  }
  const load::Verdict verdict = load::Judge(*evidence);
  for (const std::string& finding : verdict.findings) {
    std::cout << finding << "\n";
  }
  std::cout << verdict.Line(arguments.at("--name").asString()) << "\n";
  WriteJson({{"good", verdict.Good()}, {"findings", verdict.findings}},
            arguments.at("--json"));
  return verdict.Good() ? 0 : 2;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  std::signal(SIGPIPE, SIG_IGN);
  const Arguments arguments =
      docopt::docopt(kUsage, {argv + 1, argv + argc}, true,
                     "zinniastep-load " ZINNIASTEP_VERSION);
  try {
    if (arguments.at("run").asBool()) {
      return Run(arguments);
    }
    return arguments.at("compare").asBool() ? Compare(arguments)
                                            : Verdict(arguments);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 1;
  }
}
