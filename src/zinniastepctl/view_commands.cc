#include "zinniastepctl/view_commands.h"

#include <iomanip>
#include <map>
#include <vector>

#include <nlohmann/json.hpp>

#include "libzinniastep/base/bounded_json.h"
#include "libzinniastep/configuration/record_content.h"
#include "libzinniastep/runtime/percent_coding.h"

namespace zinniastep::ctl {

namespace {

using Json = nlohmann::ordered_json;

constexpr int kPathWidth = 36;
constexpr int kColumnWidth = 12;

// In how many hosts of a region a generation is in force.
struct RegionCount {
  std::string region;
  std::uint64_t generation = 0;
  std::uint64_t in_force = 0;
  std::uint64_t hosts = 0;
};

auto ReadStatuses(const std::vector<StoredObject>& statuses)
    -> std::map<std::string, std::vector<RegionCount>> {
  std::map<std::string, std::vector<RegionCount>> counts;
  for (const StoredObject& object : statuses) {
    const auto status = JsonOrDiscarded(object.value);
    try {
      for (const auto& line : status.at("objects")) {
        counts[line.at("path").get<std::string>()].push_back(
            {status.at("region").get<std::string>(),
             WholeOrThrow(line.at("generation")),
             WholeOrThrow(line.at("in_force")),
             WholeOrThrow(status.at("hosts"))});
      }
    } catch (const nlohmann::json::exception&) {
      continue;
    }
  }
  return counts;
}

auto PrintStatus(const Session& session,
                 const std::string& path,
                 std::uint64_t accepted,
                 const std::vector<RegionCount>& counts) -> void {
  if (session.json) {
    Json regions = Json::array();
    for (const RegionCount& count : counts) {
      regions.push_back({{"region", count.region},
                         {"generation", count.generation},
                         {"in_force", count.in_force},
                         {"hosts", count.hosts}});
    }
    session.out << Json({{"path", path},
                         {"accepted", accepted},
                         {"regions", regions}})
                       .dump()
                << "\n";
    return;
  }
  session.out << std::left << std::setw(kPathWidth) << path
              << std::setw(kColumnWidth) << accepted;
  for (const RegionCount& count : counts) {
    const bool newest = count.generation >= accepted;
    session.out << " " << count.region << ": " << (newest ? count.in_force : 0)
                << "/" << count.hosts;
    if (count.generation != accepted) {
      session.out << " (generation " << count.generation << ")";
    }
  }
  session.out << "\n";
}

auto PrintAnswer(const Session& session,
                 const absl::StatusOr<std::string>& body) -> ExitCode {
  if (!body.ok()) {
    session.err << body.status().message() << "\n";
    return absl::IsUnavailable(body.status())       ? ExitCode::kUnreachable
           : absl::IsInvalidArgument(body.status()) ? ExitCode::kUsage
                                                    : ExitCode::kFindings;
  }
  const auto value = JsonOrDiscarded(*body);
  constexpr int kIndent = 2;
  session.out << (session.json || value.is_discarded() ? *body
                                                       : value.dump(kIndent))
              << "\n";
  return ExitCode::kOk;
}

}  // namespace

auto Show(const Session& session, const std::string& path) -> ExitCode {
  const auto object = session.objects.Read(ObjectPath(path));
  if (!object.ok()) {
    session.err << object.status().message() << "\n";
    return ExitCode::kUnreachable;
  }
  if (!object->has_value()) {
    session.err << "no object " << path << "\n";
    return ExitCode::kFindings;
  }
  session.out << (*object)->value;
  return ExitCode::kOk;
}

auto Status(const Session& session) -> ExitCode {
  const auto documents = session.objects.List(std::string(kDocumentPrefix));
  const auto topology = session.objects.List(std::string(kTopologyPrefix));
  const auto statuses = session.objects.List("status/");
  if (!documents.ok() || !topology.ok() || !statuses.ok()) {
    session.err << "the object API did not answer\n";
    return ExitCode::kUnreachable;
  }
  std::vector<StoredObject> objects = *documents;
  objects.insert(objects.end(), topology->begin(), topology->end());
  auto counts = ReadStatuses(*statuses);
  if (!session.json) {
    session.out << std::left << std::setw(kPathWidth) << "object"
                << std::setw(kColumnWidth) << "accepted"
                << " in force on hosts\n";
  }
  for (const StoredObject& object : objects) {
    const auto parsed = ReadRecord(object.path, object.value);
    PrintStatus(session, object.path.text(),
                parsed.ok() ? GenerationOf(*parsed.value) : 0,
                counts[object.path.text()]);
    if (!parsed.ok()) {
      session.err << object.path.text() << ": has " << parsed.findings.size()
                  << " findings and is not in force\n";
    }
  }
  return ExitCode::kOk;
}

auto Explain(const Session& session, const std::string& request) -> ExitCode {
  return PrintAnswer(
      session, AskHost(session, "GET", "/explain/" + PercentEncode(request)));
}

auto Drain(const Session& session) -> ExitCode {
  return PrintAnswer(session, AskHost(session, "POST", "/drain"));
}

}  // namespace zinniastep::ctl
