#include "libzinniastep/configuration/in_force_configuration.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "libzinniastep/base/hash.h"
#include "libzinniastep/base/overloaded.h"

namespace zinniastep {

namespace {

// Findings of one object that are logged, beyond which only their number is.
constexpr std::size_t kMostLoggedFindings = 100;

}  // namespace

InForceConfiguration::InForceConfiguration(const HostIdentity& self)
    : self_(self) {}

auto InForceConfiguration::IsOurs(const ObjectPath& path) const -> bool {
  const FailureDomainId domain = RosterDomain(path);
  if (domain.empty()) {
    return true;
  }
  const FailureDomainRule* rule = snapshot_.FindDomain(domain);
  return rule == nullptr ? domain == self_.domain
                         : rule->region == self_.region;
}

auto InForceConfiguration::TakeFromStore(const StoredObject& object,
                                         Effects& effects)
    -> std::optional<AcceptedRecord> {
  const std::uint64_t seen = StableHash(object.value, object.version);
  if (!IsOurs(object.path) || seen_[object.path] == seen) {
    return std::nullopt;
  }
  seen_[object.path] = seen;
  auto parsed = ReadRecord(object.path, object.value);
  if (!parsed.ok()) {
    RefuseInvalid({object.path, 0, object.version, seen}, "store",
                  parsed.findings, effects);
    return std::nullopt;
  }
  RecordTable::Record record{{}, CanonicalJson(object.value)};
  record.id = {object.path, GenerationOf(*parsed.value), object.version,
               StableHash(record.text)};
  const RecordTable::Record* held = table_.Find(object.path);
  if (held != nullptr && !IsNewer(record.id, held->id)) {
    RefuseOlder(record.id, held->id, effects);
    return std::nullopt;
  }
  return PutInForce(std::move(record), std::move(*parsed.value), "store",
                    effects);
}

auto InForceConfiguration::TakeFromPeer(const HostId& from,
                                        RecordTable::Record record,
                                        Effects& effects)
    -> std::optional<AcceptedRecord> {
  const RecordTable::Record* held = table_.Find(record.id.path);
  if (!IsOurs(record.id.path) ||
      (held != nullptr && !IsNewer(record.id, held->id))) {
    return std::nullopt;
  }
  auto parsed = ReadRecord(record.id.path, record.text);
  if (parsed.ok() && GenerationOf(*parsed.value) != record.id.generation) {
    parsed.findings.push_back({"/generation", "is not the announced one"});
  }
  if (!parsed.findings.empty()) {
    RefuseInvalid(record.id, from.text(), parsed.findings, effects);
    return std::nullopt;
  }
  return PutInForce(std::move(record), std::move(*parsed.value), from.text(),
                    effects);
}

auto InForceConfiguration::IsUrgentChange(const RecordValue& value) const
    -> bool {
  return std::visit(
      Overloaded{[this](const Document& document) {
                   const auto held = snapshot_.documents.find(document.team);
                   return held != snapshot_.documents.end() &&
                          IsUrgent(held->second, document);
                 },
                 [this](const FailureDomainMap& map) {
                   return IsUrgent(snapshot_.domains, map);
                 },
                 [this](const ServerRoster& roster) {
                   const auto held = snapshot_.rosters.find(roster.domain);
                   return held != snapshot_.rosters.end() &&
                          IsUrgent(held->second, roster);
                 }},
      value);
}

auto InForceConfiguration::PutInForce(RecordTable::Record record,
                                      RecordValue value,
                                      const std::string& source,
                                      Effects& effects) -> AcceptedRecord {
  const RecordId id = record.id;
  const bool urgent = IsUrgentChange(value);
  const RecordTable::Record* held = table_.Find(id.path);
  if (held != nullptr && held->id.generation == id.generation &&
      held->id.digest != id.digest) {
    effects.Log("configuration_generation_conflict",
                {{"path", id.path.text()},
                 {"generation", std::to_string(id.generation)},
                 {"kept_version", std::to_string(id.version)},
                 {"dropped_version", std::to_string(held->id.version)}});
  }
  table_.Put(std::move(record));
  std::visit(Overloaded{[this](Document& document) {
                          const TeamId team = document.team;
                          snapshot_.documents[team] = std::move(document);
                        },
                        [this](FailureDomainMap& map) {
                          snapshot_.domains = std::move(map);
                          DropForeignRosters();
                        },
                        [this](ServerRoster& roster) {
                          const FailureDomainId domain = roster.domain;
                          snapshot_.rosters[domain] = std::move(roster);
                        }},
             value);
  effects.Log("configuration_in_force",
              {{"path", id.path.text()},
               {"generation", std::to_string(id.generation)},
               {"version", std::to_string(id.version)},
               {"source", source},
               {"urgent", urgent ? "true" : "false"}});
  effects.Tell(ConfigurationChanged{id.path, id.generation});
  return {id, urgent};
}

auto InForceConfiguration::DropForeignRosters() -> void {
  std::vector<FailureDomainId> foreign;
  for (const auto& [domain, roster] : snapshot_.rosters) {
    if (!IsOurs(RosterPath(domain))) {
      foreign.push_back(domain);
    }
  }
  for (const FailureDomainId& domain : foreign) {
    snapshot_.rosters.erase(domain);
    table_.Erase(RosterPath(domain));
    seen_.erase(RosterPath(domain));
  }
}

auto InForceConfiguration::RefuseOlder(const RecordId& id,
                                       const RecordId& held,
                                       Effects& effects) -> void {
  if (refused_[id.path] == id || id.digest == held.digest) {
    return;
  }
  refused_[id.path] = id;
  effects.Log("configuration_regression_refused",
              {{"path", id.path.text()},
               {"in_force_generation", std::to_string(held.generation)},
               {"in_force_version", std::to_string(held.version)},
               {"refused_generation", std::to_string(id.generation)},
               {"refused_version", std::to_string(id.version)}});
}

auto InForceConfiguration::RefuseInvalid(const RecordId& id,
                                         const std::string& source,
                                         const Findings& findings,
                                         Effects& effects) -> void {
  if (refused_[id.path] == id) {
    return;
  }
  refused_[id.path] = id;
  effects.Log("configuration_refused",
              {{"path", id.path.text()},
               {"version", std::to_string(id.version)},
               {"source", source},
               {"findings", std::to_string(findings.size())}});
  const std::size_t logged = std::min(findings.size(), kMostLoggedFindings);
  for (std::size_t i = 0; i < logged; ++i) {
    effects.Log("configuration_finding", {{"path", id.path.text()},
                                          {"place", findings[i].place},
                                          {"message", findings[i].message}});
  }
}

}  // namespace zinniastep
