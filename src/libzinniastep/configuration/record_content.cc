#include "libzinniastep/configuration/record_content.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "libzinniastep/base/bounded_json.h"
#include "libzinniastep/base/overloaded.h"
#include "libzinniastep/configuration/document_reader.h"
#include "libzinniastep/configuration/document_writer.h"
#include "libzinniastep/configuration/failure_domain_map_reader.h"
#include "libzinniastep/configuration/failure_domain_map_writer.h"
#include "libzinniastep/configuration/server_roster_reader.h"
#include "libzinniastep/configuration/server_roster_writer.h"

namespace zinniastep {

namespace {

using nlohmann::json;

// Wraps what a reader of one kind found, after comparing the name inside with
// the one in the path.
template <class T>
auto Wrap(Parsed<T> parsed,
          std::string_view member,
          std::string_view expected,
          const auto& name_of) -> Parsed<RecordValue> {
  Parsed<RecordValue> wrapped;
  wrapped.findings = std::move(parsed.findings);
  if (parsed.value && name_of(*parsed.value) != expected) {
    wrapped.findings.push_back(
        {std::string(member), "must be \"" + std::string(expected) + "\""});
  }
  if (wrapped.findings.empty()) {
    wrapped.value = std::move(*parsed.value);
  }
  return wrapped;
}

auto WithdrawsVersion(const Document& older, const Document& newer) -> bool {
  return std::ranges::any_of(older.versions, [&newer](const VersionRule& rule) {
    const auto now =
        std::ranges::find(newer.versions, rule.id, &VersionRule::id);
    const bool served = rule.state == VersionState::kActive;
    return served && (now == newer.versions.end() ||
                      now->state == VersionState::kWithdrawn);
  });
}

auto HoldsRollout(const Document& older, const Document& newer) -> bool {
  return std::ranges::any_of(older.rollouts, [&newer](const RolloutRule& rule) {
    const auto now =
        std::ranges::find(newer.rollouts, rule.id, &RolloutRule::id);
    return rule.state == RolloutRule::State::kRunning &&
           now != newer.rollouts.end() &&
           now->state == RolloutRule::State::kHeld;
  });
}

}  // namespace

auto DocumentPath(const TeamId& team) -> ObjectPath {
  return ObjectPath(std::string(kDocumentPrefix) + team.text());
}

auto RosterPath(const FailureDomainId& domain) -> ObjectPath {
  return ObjectPath(std::string(kRosterPrefix) + domain.text());
}

auto RosterDomain(const ObjectPath& path) -> FailureDomainId {
  return path.text().starts_with(kRosterPrefix)
             ? FailureDomainId(path.text().substr(kRosterPrefix.size()))
             : FailureDomainId();
}

auto ReadRecord(const ObjectPath& path, std::string_view text)
    -> Parsed<RecordValue> {
  const std::string_view name = path.text();
  if (name == kDomainsPath) {
    return Wrap(ReadFailureDomainMap(text), "", "",
                [](const FailureDomainMap&) { return std::string_view(); });
  }
  if (name.starts_with(kRosterPrefix)) {
    return Wrap(ReadServerRoster(text), "/domain",
                name.substr(kRosterPrefix.size()),
                [](const ServerRoster& roster) -> std::string_view {
                  return roster.domain.text();
                });
  }
  if (name.starts_with(kDocumentPrefix)) {
    return Wrap(ReadDocument(text), "/team",
                name.substr(kDocumentPrefix.size()),
                [](const Document& document) -> std::string_view {
                  return document.team.text();
                });
  }
  return {std::nullopt, {{"", "no configuration lies at this path"}}};
}

auto WriteRecord(const RecordValue& value) -> std::string {
  return std::visit(
      Overloaded{
          [](const Document& document) { return WriteDocument(document); },
          [](const FailureDomainMap& map) {
            return WriteFailureDomainMap(map);
          },
          [](const ServerRoster& roster) { return WriteServerRoster(roster); }},
      value);
}

auto GenerationOf(const RecordValue& value) -> std::uint64_t {
  return std::visit([](const auto& held) { return held.generation; }, value);
}

auto IsUrgent(const Document& older, const Document& newer) -> bool {
  return WithdrawsVersion(older, newer) || HoldsRollout(older, newer);
}

auto IsUrgent(const FailureDomainMap& older, const FailureDomainMap& newer)
    -> bool {
  return std::ranges::any_of(
      older.domains, [&newer](const FailureDomainRule& rule) {
        const auto now =
            std::ranges::find(newer.domains, rule.id, &FailureDomainRule::id);
        return rule.state == FailureDomainState::kIn &&
               (now == newer.domains.end() ||
                now->state == FailureDomainState::kOut);
      });
}

auto IsUrgent(const ServerRoster& older, const ServerRoster& newer) -> bool {
  return std::ranges::any_of(
      older.servers, [&newer](const BackendServerRule& rule) {
        const auto now =
            std::ranges::find(newer.servers, rule.id, &BackendServerRule::id);
        return !rule.leaving && (now == newer.servers.end() || now->leaving);
      });
}

auto CanonicalJson(std::string_view text) -> std::string {
  return JsonOrThrow(text).dump();
}

auto DiffJson(std::string_view older, std::string_view newer) -> std::string {
  return json::diff(JsonOrThrow(older), JsonOrThrow(newer)).dump();
}

auto JoinPatches(std::string_view first, std::string_view second)
    -> std::string {
  json joined = JsonOrThrow(first);
  for (json& step : JsonOrThrow(second)) {
    joined.push_back(std::move(step));
  }
  return joined.dump();
}

auto PatchJson(std::string_view text, std::string_view patch)
    -> std::optional<std::string> {
  try {
    return JsonOrThrow(text).patch(JsonOrThrow(patch)).dump();
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace zinniastep
