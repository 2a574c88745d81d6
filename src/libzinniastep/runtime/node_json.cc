#include "libzinniastep/runtime/node_json.h"

#include <chrono>

#include <nlohmann/json.hpp>

namespace zinniastep {

namespace {

using Json = nlohmann::json;

auto IdentityAsJson(const HostIdentity& identity) -> Json {
  return {{"host", identity.host.text()},
          {"incarnation", identity.incarnation},
          {"peer_address", identity.peer_address},
          {"caller_address", identity.caller_address},
          {"failure_domain", identity.domain.text()},
          {"region", identity.region.text()}};
}

}  // namespace

auto AddressesAsJson(const AddressAdvice& advice) -> std::string {
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(advice.time_to_live);
  const Json body = {{"addresses", advice.addresses},
                     {"ttl_seconds", seconds.count()},
                     {"key_prefix", advice.key_prefix}};
  return body.dump();
}

auto ModelsAsJson(const ModelAdvice& advice) -> std::string {
  Json data = Json::array();
  for (const std::string& name : advice.names) {
    data.push_back({{"id", name}, {"object", "model"}});
  }
  return Json{{"object", "list"}, {"data", data}}.dump();
}

auto StateAsJson(const NodeState& state, const TransportCounts& counts)
    -> std::string {
  Json members = Json::array();
  for (const HostIdentity& member : state.members) {
    members.push_back(IdentityAsJson(member));
  }
  Json configuration = Json::object();
  for (const ConfigurationState& object : state.configuration) {
    configuration[object.path.text()] = object.generation;
  }
  const Json body = {{"self", IdentityAsJson(state.self)},
                     {"ready", state.ready},
                     {"draining", state.draining},
                     {"has_news", state.has_news},
                     {"open_requests", state.open_requests},
                     {"unflushed_bills", state.unflushed_bills},
                     {"exposed_bills", state.exposed_bills},
                     {"members", members},
                     {"configuration", configuration},
                     {"peer_messages",
                      {{"sent", counts.sent_messages},
                       {"sent_bytes", counts.sent_bytes},
                       {"received", counts.received_messages},
                       {"received_bytes", counts.received_bytes},
                       {"lost_connections", counts.lost_connections}}}};
  return body.dump();
}

}  // namespace zinniastep
