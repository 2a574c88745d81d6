#include "libzinniastep/configuration/failure_domain_map_reader.h"

#include <set>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "libzinniastep/configuration/json_object_reader.h"

namespace zinniastep {

namespace {

using nlohmann::json;

constexpr std::uint64_t kMostGeneration = std::uint64_t{1} << 53U;

auto ReadDomain(const json& item, const std::string& place, Findings& findings)
    -> FailureDomainRule {
  JsonObjectReader reader(item, place, findings);
  FailureDomainRule rule;
  rule.id = FailureDomainId(reader.Name("id", Presence::kRequired));
  rule.region = RegionId(reader.Name("region", Presence::kRequired));
  rule.state =
      static_cast<FailureDomainState>(reader.Word("state", {"in", "out"}, 0));
  reader.Finish();
  return rule;
}

auto RefuseRepeatedDomains(const FailureDomainMap& map, Findings& findings)
    -> void {
  std::set<FailureDomainId> seen;
  for (std::size_t i = 0; i < map.domains.size(); ++i) {
    const FailureDomainId& id = map.domains[i].id;
    if (!id.empty() && !seen.insert(id).second) {
      findings.push_back({ItemPlace("/domains", i) + "/id",
                          "\"" + id.text() + "\" is defined twice"});
    }
  }
}

}  // namespace

auto ReadFailureDomainMap(std::string_view text) -> Parsed<FailureDomainMap> {
  Parsed<FailureDomainMap> parsed;
  Findings& findings = parsed.findings;
  const auto value = ParseJson(text, findings);
  if (!value) {
    return parsed;
  }
  JsonObjectReader reader(*value, "", findings);
  FailureDomainMap map;
  map.generation =
      reader.Whole("generation", {1, kMostGeneration}, Presence::kRequired);
  reader.Items("domains", {1, kMostFailureDomains}, Presence::kRequired,
               [&](const json& item, const std::string& place) {
                 map.domains.push_back(ReadDomain(item, place, findings));
               });
  reader.Finish();
  RefuseRepeatedDomains(map, findings);
  if (findings.empty()) {
    parsed.value = std::move(map);
  }
  return parsed;
}

}  // namespace zinniastep
