#include "libzinniastep/configuration/failure_domain_map_writer.h"

#include <nlohmann/json.hpp>

namespace zinniastep {

auto WriteFailureDomainMap(const FailureDomainMap& map) -> std::string {
  using Json = nlohmann::ordered_json;
  constexpr int kIndent = 2;
  Json domains = Json::array();
  for (const FailureDomainRule& rule : map.domains) {
    const bool in = rule.state == FailureDomainState::kIn;
    domains.push_back({{"id", rule.id.text()},
                       {"region", rule.region.text()},
                       {"state", in ? "in" : "out"}});
  }
  const Json value = {{"generation", map.generation}, {"domains", domains}};
  return value.dump(kIndent) + "\n";
}

}  // namespace zinniastep
