#include "zinniastepctl/change_commands.h"

#include <algorithm>
#include <fstream>
#include <functional>
#include <iterator>
#include <optional>
#include <regex>
#include <utility>

#include <nlohmann/json.hpp>

#include "libzinniastep/base/bounded_json.h"
#include "libzinniastep/configuration/node_settings.h"
#include "libzinniastep/configuration/record_content.h"

namespace zinniastep::ctl {

namespace {

using Json = nlohmann::ordered_json;

// A file's content, and the object that it belongs to; settings files belong
// to none.
struct ReadFile {
  std::string text;
  ObjectPath path;
  std::optional<RecordValue> value;
  Findings findings;
};

// Returns the path of the object that a text describes by its members.
auto PathOf(const nlohmann::json& value) -> ObjectPath {
  if (value.contains("team") && value["team"].is_string()) {
    return DocumentPath(TeamId(value["team"].get<std::string>()));
  }
  if (value.contains("domain") && value["domain"].is_string()) {
    return RosterPath(FailureDomainId(value["domain"].get<std::string>()));
  }
  if (value.contains("domains")) {
    return ObjectPath(std::string(kDomainsPath));
  }
  return {};
}

auto Load(const std::string& name) -> ReadFile {
  ReadFile file;
  std::ifstream stream(name, std::ios::binary);
  if (!stream) {
    file.findings.push_back({"", "cannot be read"});
    return file;
  }
  file.text.assign(std::istreambuf_iterator<char>(stream), {});
  const auto value = JsonOrDiscarded(file.text);
  if (value.is_object() && value.contains("host")) {
    file.findings = ReadNodeSettings(file.text).findings;
    return file;
  }
  file.path = value.is_object() ? PathOf(value) : ObjectPath();
  if (file.path.empty()) {
    file.findings.push_back(
        {"", value.is_discarded()
                 ? "is not JSON"
                 : "is no document, failure domain map, roster or settings"});
    return file;
  }
  auto parsed = ReadRecord(file.path, file.text);
  file.findings = std::move(parsed.findings);
  file.value = std::move(parsed.value);
  return file;
}

auto PrintFindings(const Session& session,
                   const std::string& name,
                   const Findings& findings) -> void {
  for (const Finding& finding : findings) {
    if (session.json) {
      session.out << Json({{"file", name},
                           {"place", finding.place},
                           {"message", finding.message}})
                         .dump()
                  << "\n";
    } else {
      session.out << name << ": "
                  << (finding.place.empty() ? "/" : finding.place) << ": "
                  << finding.message << "\n";
    }
  }
}

auto ToText(ChangeEnd end) -> const char* {
  switch (end) {
    case ChangeEnd::kAccepted:
      return "accepted";
    case ChangeEnd::kUnchanged:
      return "unchanged";
    case ChangeEnd::kConflict:
      return "conflict";
    case ChangeEnd::kUnreachable:
      return "unreachable";
    case ChangeEnd::kUnknown:
      return "unknown";
  }
  return "unknown";
}

auto Report(const Session& session,
            const ObjectPath& path,
            const ChangeResult& result) -> ExitCode {
  if (session.json) {
    session.out << Json({{"path", path.text()},
                         {"result", ToText(result.end)},
                         {"generation", result.generation},
                         {"message", result.message},
                         {"differences", result.differences}})
                       .dump()
                << "\n";
  } else {
    session.out << path.text() << ": " << ToText(result.end) << ", generation "
                << result.generation << "\n";
    if (!result.message.empty()) {
      session.out << "  " << result.message << "\n";
    }
    for (const std::string& difference : result.differences) {
      session.out << "  " << difference << "\n";
    }
  }
  switch (result.end) {
    case ChangeEnd::kAccepted:
    case ChangeEnd::kUnchanged:
      return ExitCode::kOk;
    case ChangeEnd::kConflict:
      return ExitCode::kConflict;
    case ChangeEnd::kUnreachable:
    case ChangeEnd::kUnknown:
      return ExitCode::kUnreachable;
  }
  return ExitCode::kUnreachable;
}

auto MakeChanger(const Session& session) -> RecordChanger {
  return {session.objects, [&session](const ObjectPath& path) {
            return InForceGeneration(session, path);
          }};
}

// Writes the new generation into the file, and leaves the rest as it is.
auto StoreGeneration(const std::string& name,
                     const std::string& text,
                     std::uint64_t generation) -> void {
  static const std::regex generation_member("(\"generation\"\\s*:\\s*)[0-9]+");
  const std::string changed = std::regex_replace(
      text, generation_member, "$01" + std::to_string(generation),
      std::regex_constants::format_first_only);
  if (changed != text) {
    std::ofstream(name, std::ios::binary) << changed;
  }
}

// Edits the only document for which `defines` holds.
auto ChangeDocument(const Session& session,
                    const std::string& what,
                    const std::function<bool(const Document&)>& defines,
                    const RecordEdit& edit) -> ExitCode {
  const auto objects = session.objects.List(std::string(kDocumentPrefix));
  if (!objects.ok()) {
    session.err << objects.status().message() << "\n";
    return ExitCode::kUnreachable;
  }
  for (const StoredObject& object : *objects) {
    const auto parsed = ReadRecord(object.path, object.value);
    if (parsed.ok() && defines(std::get<Document>(*parsed.value))) {
      return Change(session, object.path, edit);
    }
  }
  session.err << "no document defines " << what << "\n";
  return ExitCode::kFindings;
}

}  // namespace

auto Check(const Session& session, const std::vector<std::string>& files)
    -> ExitCode {
  ExitCode code = ExitCode::kOk;
  for (const std::string& name : files) {
    const ReadFile file = Load(name);
    PrintFindings(session, name, file.findings);
    if (!file.findings.empty()) {
      code = ExitCode::kFindings;
    } else if (!session.json) {
      session.out << name << ": good\n";
    }
  }
  return code;
}

auto Diff(const Session& session, const std::string& name) -> ExitCode {
  const ReadFile file = Load(name);
  if (!file.value) {
    PrintFindings(session, name, file.findings);
    return ExitCode::kFindings;
  }
  const auto object = session.objects.Read(file.path);
  if (!object.ok()) {
    session.err << object.status().message() << "\n";
    return ExitCode::kUnreachable;
  }
  const auto held = object->has_value()
                        ? ReadRecord(file.path, (*object)->value).value
                        : std::nullopt;
  const auto differences = ListDifferences(held ? WriteRecord(*held) : "{}",
                                           WriteRecord(*file.value));
  if (session.json) {
    session.out << Json({{"path", file.path.text()},
                         {"generation", held ? GenerationOf(*held) : 0},
                         {"differences", differences}})
                       .dump()
                << "\n";
    return ExitCode::kOk;
  }
  for (const std::string& difference : differences) {
    session.out << difference << "\n";
  }
  return ExitCode::kOk;
}

auto Apply(const Session& session, const std::string& name) -> ExitCode {
  const ReadFile file = Load(name);
  if (!file.value) {
    PrintFindings(session, name, file.findings);
    if (file.findings.empty()) {
      session.err << name << ": settings are not applied\n";
    }
    return ExitCode::kFindings;
  }
  const ChangeResult result =
      MakeChanger(session).Replace(file.path, *file.value);
  if (result.end == ChangeEnd::kAccepted) {
    StoreGeneration(name, file.text, result.generation);
  }
  return Report(session, file.path, result);
}

auto Change(const Session& session,
            const ObjectPath& path,
            const RecordEdit& edit) -> ExitCode {
  return Report(session, path, MakeChanger(session).Edit(path, edit));
}

auto ChangeDocumentWith(const Session& session,
                        const ModelVersion& version,
                        const RecordEdit& edit) -> ExitCode {
  return ChangeDocument(
      session, "version " + ToString(version),
      [&version](const Document& document) {
        return std::ranges::find(document.versions, version,
                                 &VersionRule::id) != document.versions.end();
      },
      edit);
}

auto ChangeDocumentWith(const Session& session,
                        const RolloutId& rollout,
                        const RecordEdit& edit) -> ExitCode {
  return ChangeDocument(
      session, "roll-out " + rollout.text(),
      [&rollout](const Document& document) {
        return std::ranges::find(document.rollouts, rollout,
                                 &RolloutRule::id) != document.rollouts.end();
      },
      edit);
}

}  // namespace zinniastep::ctl
