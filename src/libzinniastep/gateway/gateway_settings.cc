#include "libzinniastep/gateway/gateway_settings.h"

#include <algorithm>
#include <limits>

#include <nlohmann/json.hpp>

#include "libzinniastep/configuration/json_object_reader.h"

namespace zinniastep {

namespace {

constexpr std::size_t kMaxAddressLength = 64;
constexpr RealRange kAnyMilliseconds{0.0, 600'000.0};
constexpr RealRange kAnySeconds{0.0, 600.0};
// Defaults where the platform sets no limit: the shortest times of the
// deployments so far, and repeats of at most a tenth.
constexpr double kDefaultShutdownSeconds = 8.0;
constexpr double kDefaultLeavingMs = 2500.0;
constexpr double kDefaultConfigurationMs = 2500.0;
constexpr double kDefaultRollbackMs = 5000.0;
constexpr double kDefaultEvacuationMs = 5000.0;
constexpr double kDefaultLifetimeSeconds = 5.0;
constexpr double kDefaultWindowSeconds = 10.0;
constexpr double kDefaultRepeatShare = 0.1;
constexpr std::size_t kLeastHeldBytes = std::size_t{1} << 20U;
// Up to 16 TiB, which is more than a host has.
constexpr RealRange kAnyMemory{1.0, 16'777'216.0};
constexpr double kMebibyte = 1'048'576.0;
// Longer than any pause of a caller that goes on reading.
constexpr double kDefaultStallSeconds = 60.0;
// Parts of the descriptors, in sixteenths: those of the callers' address, and
// of each of the three others.
constexpr std::size_t kDescriptorParts = 16;
constexpr std::size_t kCallerParts = 9;
constexpr WholeRange kSomeItems{1, 1000};
constexpr WholeRange kAnyItems{0, 1000};
constexpr RealRange kAnyShare{0.0, 100.0};
constexpr RealRange kAnySlack{0.0, 1e6};

// Returns a quarter of the memory, within bounds.
auto DefaultHeldBytes(double memory_mb) -> std::size_t {
  return std::clamp(static_cast<std::size_t>(memory_mb * kMebibyte / 4),
                    kLeastHeldBytes, kDefaultHeldBytes);
}

auto ReadMilliseconds(JsonObjectReader& reader,
                      std::string_view key,
                      double default_value) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(reader.Real(
          key, kAnyMilliseconds, Presence::kOptional, default_value)));
}

auto ReadSeconds(JsonObjectReader& reader,
                 std::string_view key,
                 double default_value) -> Duration {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      reader.Real(key, kAnySeconds, Presence::kOptional, default_value)));
}

auto ReadTexts(JsonObjectReader& reader,
               std::string_view key,
               WholeRange count,
               Findings& findings) -> std::vector<std::string> {
  std::vector<std::string> texts;
  reader.Items(key, count, Presence::kRequired,
               [&](const nlohmann::json& item, const std::string& place) {
                 if (!item.is_string()) {
                   findings.push_back({place, "must be a text"});
                   return;
                 }
                 texts.push_back(item.get<std::string>());
               });
  return texts;
}

auto ReadRegions(const nlohmann::json& value,
                 const std::string& place,
                 Findings& findings)
    -> std::vector<std::pair<FailureDomainId, RegionId>> {
  std::vector<std::pair<FailureDomainId, RegionId>> regions;
  if (!value.is_object()) {
    findings.push_back({place, "must be an object"});
    return regions;
  }
  for (const auto& [domain, region] : value.items()) {
    if (!region.is_string()) {
      findings.push_back({MemberPlace(place, domain), "must be a text"});
      continue;
    }
    regions.emplace_back(FailureDomainId(domain),
                         RegionId(region.get<std::string>()));
  }
  return regions;
}

// Seeds may be listed with the address of another of their interfaces. All
// hosts receive peer messages on the same port, so the port of this host
// applies.
auto SetPeerPort(const std::string& peer_address, std::string& seed) -> void {
  const auto own_colon = peer_address.rfind(':');
  if (own_colon != std::string::npos) {
    seed = seed.substr(0, seed.rfind(':')) + peer_address.substr(own_colon);
  }
}

}  // namespace

auto MostCallers(const GatewaySettings& settings) -> std::size_t {
  return settings.most_descriptors * kCallerParts / kDescriptorParts;
}

auto MostAskers(const GatewaySettings& settings) -> std::size_t {
  return settings.most_descriptors / kDescriptorParts;
}

auto ReadGatewaySettings(std::string_view text) -> ParsedGatewaySettings {
  ParsedGatewaySettings parsed;
  Findings& findings = parsed.findings;
  const auto json = ParseJson(text, findings);
  if (!json.has_value()) {
    return parsed;
  }
  JsonObjectReader reader(*json, "", findings);
  const auto address = [&reader](std::string_view key, Presence presence) {
    return reader.Text(key, kMaxAddressLength, presence);
  };
  GatewaySettings settings;
  settings.host = HostId(reader.Name("host", Presence::kRequired));
  settings.domain =
      FailureDomainId(reader.Name("failure_domain", Presence::kRequired));
  settings.region = RegionId(reader.Name("region", Presence::kRequired));
  const auto* regions = reader.Member("regions", Presence::kRequired);
  if (regions != nullptr) {
    settings.regions = ReadRegions(*regions, "/regions", findings);
  }
  settings.caller_address = address("caller_address", Presence::kRequired);
  settings.ready_address = address("ready_address", Presence::kRequired);
  settings.directory_address =
      address("directory_address", Presence::kRequired);
  settings.metrics_address = address("metrics_address", Presence::kOptional);
  settings.peer_address = address("peer_address", Presence::kRequired);
  settings.seeds = ReadTexts(reader, "seeds", kAnyItems, findings);
  for (std::string& seed : settings.seeds) {
    SetPeerPort(settings.peer_address, seed);
  }
  settings.store_address = address("store_address", Presence::kRequired);
  settings.signing_keys =
      ReadTexts(reader, "signing_keys", kSomeItems, findings);
  settings.shutdown_time =
      ReadSeconds(reader, "shutdown_s", kDefaultShutdownSeconds);
  settings.leaving_time =
      ReadMilliseconds(reader, "leaving_ms", kDefaultLeavingMs);
  settings.configuration_time =
      ReadMilliseconds(reader, "configuration_ms", kDefaultConfigurationMs);
  settings.rollback_time =
      ReadMilliseconds(reader, "rollback_ms", kDefaultRollbackMs);
  settings.evacuation_time =
      ReadMilliseconds(reader, "evacuation_ms", kDefaultEvacuationMs);
  settings.longest_address_lifetime =
      ReadSeconds(reader, "address_lifetime_s", kDefaultLifetimeSeconds);
  settings.repeat_share = reader.Real("repeat_share", kAnyShare,
                                      Presence::kOptional, kDefaultRepeatShare);
  settings.repeat_slack =
      reader.Real("repeat_slack", kAnySlack, Presence::kOptional, 0.0);
  settings.repeat_window =
      ReadSeconds(reader, "repeat_window_s", kDefaultWindowSeconds);
  settings.most_descriptors = reader.Whole(
      "most_descriptors", {64, std::numeric_limits<std::uint32_t>::max()},
      Presence::kRequired);
  const double memory_mb = reader.Real("memory_mb", kAnyMemory,
                                       Presence::kOptional, kAnyMemory.most);
  settings.most_held_bytes =
      reader.Whole("most_held_bytes",
                   {kLeastHeldBytes, std::numeric_limits<std::uint32_t>::max()},
                   Presence::kOptional, DefaultHeldBytes(memory_mb));
  settings.answer_stall =
      ReadSeconds(reader, "answer_stall_s", kDefaultStallSeconds);
  reader.Finish();
  if (findings.empty()) {
    parsed.value = std::move(settings);
  }
  return parsed;
}

}  // namespace zinniastep
