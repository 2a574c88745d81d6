#include "libzinniastep/configuration/server_roster_reader.h"

#include <limits>
#include <set>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "libzinniastep/configuration/json_object_reader.h"
#include "libzinniastep/configuration/numeric_address.h"

namespace zinniastep {

namespace {

using nlohmann::json;

constexpr std::uint64_t kMostGeneration = std::uint64_t{1} << 53U;
constexpr std::uint64_t kMostNumber = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMostRequestsAtOnce = 100'000;
constexpr std::size_t kLongestAddress = 64;

// Returns the halves of "model@version"; both empty when it is not that.
auto SplitReference(const json& item) -> ModelVersion {
  if (!item.is_string()) {
    return {};
  }
  const auto& text = item.get_ref<const std::string&>();
  const std::size_t at = text.find('@');
  if (at == std::string::npos || !IsName(text.substr(0, at)) ||
      !IsName(text.substr(at + 1))) {
    return {};
  }
  return {text.substr(0, at), text.substr(at + 1)};
}

auto ReadVersions(JsonObjectReader& reader, Findings& findings)
    -> std::vector<ModelVersion> {
  std::vector<ModelVersion> versions;
  reader.Items("versions", {0, kMostVersionsPerServer}, Presence::kOptional,
               [&](const json& item, const std::string& place) {
                 versions.push_back(SplitReference(item));
                 if (versions.back().model.empty()) {
                   findings.push_back({place, "must be \"model@version\""});
                 }
               });
  return versions;
}

// Checks what an engine and a plain service each must and must not have.
auto CheckKind(const BackendServerRule& rule, JsonObjectReader& reader)
    -> void {
  const bool engine = rule.kind == BackendServerRule::Kind::kEngine;
  if (engine && !rule.service.empty()) {
    reader.Refuse("service", "an engine runs no plain service");
  }
  if (!engine && rule.service.empty()) {
    reader.Refuse("service", "must name the plain service");
  }
  if (!engine && !rule.versions.empty()) {
    reader.Refuse("versions", "a plain service holds no versions");
  }
  if (rule.cold_limit > rule.warm_limit) {
    reader.Refuse("cold_limit", "must not be above the warm limit");
  }
}

auto ReadServer(const json& item, const std::string& place, Findings& findings)
    -> BackendServerRule {
  JsonObjectReader reader(item, place, findings);
  BackendServerRule rule;
  rule.id = BackendServerId(reader.Name("id", Presence::kRequired));
  rule.kind = static_cast<BackendServerRule::Kind>(
      reader.Word("kind", {"engine", "service"}, 0));
  rule.address = reader.Text("address", kLongestAddress, Presence::kRequired);
  if (!rule.address.empty() && !IsNumericAddress(rule.address)) {
    reader.Refuse("address", "must be a numeric \"address:port\"");
  }
  rule.service = ServiceId(reader.Name("service", Presence::kOptional));
  rule.versions = ReadVersions(reader, findings);
  rule.cold_limit = static_cast<std::uint32_t>(
      reader.Whole("cold_limit", {1, kMostRequestsAtOnce}, Presence::kOptional,
                   rule.cold_limit));
  rule.warm_limit = static_cast<std::uint32_t>(
      reader.Whole("warm_limit", {1, kMostRequestsAtOnce}, Presence::kOptional,
                   rule.warm_limit));
  rule.memory_megabytes = static_cast<std::uint32_t>(
      reader.Whole("memory_megabytes", {0, kMostNumber}, Presence::kOptional));
  rule.checks_fencing = reader.Flag("checks_fencing", false);
  rule.leaving = reader.Flag("leaving", false);
  CheckKind(rule, reader);
  reader.Finish();
  return rule;
}

auto RefuseRepeatedServers(const ServerRoster& roster, Findings& findings)
    -> void {
  std::set<BackendServerId> ids;
  std::set<std::string> addresses;
  for (std::size_t i = 0; i < roster.servers.size(); ++i) {
    const BackendServerRule& rule = roster.servers[i];
    const std::string place = ItemPlace("/servers", i);
    if (!rule.id.empty() && !ids.insert(rule.id).second) {
      findings.push_back(
          {place + "/id", "\"" + rule.id.text() + "\" is defined twice"});
    }
    if (!rule.address.empty() && !addresses.insert(rule.address).second) {
      findings.push_back(
          {place + "/address", "another server has this address"});
    }
  }
}

}  // namespace

auto ReadServerRoster(std::string_view text) -> Parsed<ServerRoster> {
  Parsed<ServerRoster> parsed;
  Findings& findings = parsed.findings;
  const auto value = ParseJson(text, findings);
  if (!value) {
    return parsed;
  }
  JsonObjectReader reader(*value, "", findings);
  ServerRoster roster;
  roster.generation =
      reader.Whole("generation", {1, kMostGeneration}, Presence::kRequired);
  roster.domain = FailureDomainId(reader.Name("domain", Presence::kRequired));
  reader.Items("servers", {0, kMostServersPerDomain}, Presence::kRequired,
               [&](const json& item, const std::string& place) {
                 roster.servers.push_back(ReadServer(item, place, findings));
                 roster.servers.back().domain = roster.domain;
               });
  reader.Finish();
  RefuseRepeatedServers(roster, findings);
  if (findings.empty()) {
    parsed.value = std::move(roster);
  }
  return parsed;
}

}  // namespace zinniastep
