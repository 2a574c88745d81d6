#include "libzinniastep/configuration/server_roster_writer.h"

#include <nlohmann/json.hpp>

namespace zinniastep {

namespace {

using Json = nlohmann::ordered_json;

auto ToJson(const BackendServerRule& rule) -> Json {
  const bool engine = rule.kind == BackendServerRule::Kind::kEngine;
  Json value = {{"id", rule.id.text()},
                {"kind", engine ? "engine" : "service"},
                {"address", rule.address}};
  if (engine) {
    Json versions = Json::array();
    for (const ModelVersion& version : rule.versions) {
      versions.push_back(ToString(version));
    }
    value["versions"] = std::move(versions);
  } else {
    value["service"] = rule.service.text();
  }
  value["cold_limit"] = rule.cold_limit;
  value["warm_limit"] = rule.warm_limit;
  value["memory_megabytes"] = rule.memory_megabytes;
  value["checks_fencing"] = rule.checks_fencing;
  value["leaving"] = rule.leaving;
  return value;
}

}  // namespace

auto WriteServerRoster(const ServerRoster& roster) -> std::string {
  constexpr int kIndent = 2;
  Json servers = Json::array();
  for (const BackendServerRule& rule : roster.servers) {
    servers.push_back(ToJson(rule));
  }
  const Json value = {{"generation", roster.generation},
                      {"domain", roster.domain.text()},
                      {"servers", servers}};
  return value.dump(kIndent) + "\n";
}

}  // namespace zinniastep
