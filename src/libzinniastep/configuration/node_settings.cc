#include "libzinniastep/configuration/node_settings.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "libzinniastep/configuration/json_object_reader.h"
#include "libzinniastep/configuration/numeric_address.h"

namespace zinniastep {

namespace {

using nlohmann::json;

constexpr std::size_t kLongestAddress = 64;
constexpr std::uint64_t kMostSeeds = 64;
constexpr std::uint64_t kMostKeys = 2;
constexpr std::size_t kShortestKey = 16;
constexpr std::size_t kLongestKey = 256;
constexpr WholeRange kBodyBytes{1024, 64U << 20U};
constexpr WholeRange kCallsInFlight{1, 1'000'000};
constexpr WholeRange kCallerThreads{1, 64};
constexpr WholeRange kAddressTtlSeconds{1, 3600};

auto ReadAddress(JsonObjectReader& reader,
                 std::string_view key,
                 Presence presence) -> std::string {
  std::string address = reader.Text(key, kLongestAddress, presence);
  if (!address.empty() && !IsNumericAddress(address)) {
    reader.Refuse(key, "must be a numeric \"address:port\"");
  }
  return address;
}

auto ReadSeeds(JsonObjectReader& reader, Findings& findings)
    -> std::vector<std::string> {
  std::vector<std::string> seeds;
  reader.Items(
      "seeds", {0, kMostSeeds}, Presence::kOptional,
      [&](const json& item, const std::string& place) {
        if (item.is_string() &&
            IsNumericAddress(item.get_ref<const std::string&>())) {
          seeds.push_back(item.get<std::string>());
        } else {
          findings.push_back({place, "must be a numeric \"address:port\""});
        }
      });
  return seeds;
}

// Findings never quote a key.
auto ReadKeys(JsonObjectReader& reader,
              std::string_view key,
              Findings& findings) -> std::vector<std::string> {
  std::vector<std::string> keys;
  reader.Items(
      key, {1, kMostKeys}, Presence::kRequired,
      [&](const json& item, const std::string& place) {
        if (item.is_string() &&
            item.get<std::string>().size() >= kShortestKey &&
            item.get<std::string>().size() <= kLongestKey) {
          keys.push_back(item.get<std::string>());
        } else {
          findings.push_back(
              {place, "must be a key of " + std::to_string(kShortestKey) +
                          " to " + std::to_string(kLongestKey) + " bytes"});
        }
      });
  return keys;
}

auto ReadOperatorKeyDigest(JsonObjectReader& reader) -> std::string {
  std::string digest =
      reader.Text("operator_key_digest", kLongestKey, Presence::kRequired);
  if (!digest.empty() && !IsSha256Digest(digest)) {
    reader.Refuse("operator_key_digest",
                  "must be a SHA-256 digest: 64 lower-case hexadecimal digits");
  }
  return digest;
}

auto ReadLimits(JsonObjectReader& parent, Findings& findings) -> NodeLimits {
  NodeLimits limits;
  const json* member = parent.Member("limits", Presence::kOptional);
  if (member == nullptr) {
    return limits;
  }
  JsonObjectReader reader(*member, MemberPlace(parent.place(), "limits"),
                          findings);
  const auto read = [&reader](std::string_view key, WholeRange range,
                              std::uint32_t& limit) {
    limit = static_cast<std::uint32_t>(
        reader.Whole(key, range, Presence::kOptional, limit));
  };
  read("max_body_bytes", kBodyBytes, limits.max_body_bytes);
  read("max_calls_in_flight", kCallsInFlight, limits.max_calls_in_flight);
  read("caller_threads", kCallerThreads, limits.caller_threads);
  reader.Finish();
  return limits;
}

}  // namespace

auto ReadNodeSettings(std::string_view text) -> Parsed<NodeSettings> {
  Parsed<NodeSettings> parsed;
  Findings& findings = parsed.findings;
  const auto value = ParseJson(text, findings);
  if (!value) {
    return parsed;
  }
  JsonObjectReader reader(*value, "", findings);
  NodeSettings settings;
  settings.host = HostId(reader.Name("host", Presence::kRequired));
  settings.domain =
      FailureDomainId(reader.Name("failure_domain", Presence::kRequired));
  settings.region = RegionId(reader.Name("region", Presence::kRequired));
  settings.peer_address =
      ReadAddress(reader, "peer_address", Presence::kRequired);
  settings.caller_address =
      ReadAddress(reader, "caller_address", Presence::kRequired);
  settings.operator_key_digest = ReadOperatorKeyDigest(reader);
  settings.store_address =
      ReadAddress(reader, "store_address", Presence::kRequired);
  settings.host_list_address =
      ReadAddress(reader, "host_list_address", Presence::kRequired);
  settings.rating_address =
      ReadAddress(reader, "rating_address", Presence::kOptional);
  settings.seeds = ReadSeeds(reader, findings);
  settings.wire_keys = ReadKeys(reader, "wire_keys", findings);
  settings.session_keys = ReadKeys(reader, "session_keys", findings);
  settings.limits = ReadLimits(reader, findings);
  settings.address_ttl_seconds = static_cast<std::uint32_t>(
      reader.Whole("address_ttl_seconds", kAddressTtlSeconds,
                   Presence::kOptional, settings.address_ttl_seconds));
  reader.Finish();
  if (findings.empty()) {
    parsed.value = std::move(settings);
  }
  return parsed;
}

}  // namespace zinniastep
