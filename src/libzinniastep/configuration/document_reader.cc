#include "libzinniastep/configuration/document_reader.h"

#include <limits>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "libzinniastep/configuration/document_checks.h"
#include "libzinniastep/configuration/json_object_reader.h"

namespace zinniastep {

namespace {

using nlohmann::json;

constexpr std::uint64_t kMostNumber = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMostGeneration = std::uint64_t{1} << 53U;
constexpr double kMostShare = 1000.0;
// "model@version".
constexpr std::size_t kLongestReference = 2 * kLongestName + 1;

auto ReadMoney(JsonObjectReader& reader, std::string_view key) -> MicroMoney {
  return static_cast<MicroMoney>(
      reader.Whole(key, {0, kMostMicroMoney}, Presence::kOptional));
}

auto ReadPrice(JsonObjectReader& parent, Findings& findings) -> Price {
  Price price;
  const json* member = parent.Member("price", Presence::kRequired);
  if (member == nullptr) {
    return price;
  }
  JsonObjectReader reader(*member, MemberPlace(parent.place(), "price"),
                          findings);
  price.per_request = ReadMoney(reader, "per_request");
  price.per_thousand_prompt_tokens =
      ReadMoney(reader, "per_thousand_prompt_tokens");
  price.per_thousand_completion_tokens =
      ReadMoney(reader, "per_thousand_completion_tokens");
  reader.Finish();
  return price;
}

auto ReadVersion(const json& item, const std::string& place, Findings& findings)
    -> VersionRule {
  JsonObjectReader reader(item, place, findings);
  VersionRule rule;
  rule.id.model = reader.Name("model", Presence::kRequired);
  rule.id.version = reader.Name("version", Presence::kRequired);
  rule.price = ReadPrice(reader, findings);
  rule.state = static_cast<VersionState>(
      reader.Word("state", {"active", "withdrawn"}, 0));
  rule.reason = reader.Text("reason", kLongestReason, Presence::kOptional);
  rule.bad = reader.Flag("bad", false);
  rule.prior_quality = reader.Real("prior_quality", {0.0, 1.0},
                                   Presence::kOptional, rule.prior_quality);
  rule.memory_megabytes = static_cast<std::uint32_t>(
      reader.Whole("memory_megabytes", {0, kMostNumber}, Presence::kOptional));
  reader.Finish();
  return rule;
}

auto ReadReferences(JsonObjectReader& reader,
                    std::string_view key,
                    WholeRange count,
                    Findings& findings) -> std::vector<std::string> {
  std::vector<std::string> names;
  reader.Items(
      key, count, Presence::kRequired,
      [&](const json& item, const std::string& place) {
        if (item.is_string() &&
            item.get_ref<const std::string&>().size() <= kLongestReference) {
          names.push_back(item.get<std::string>());
        } else {
          names.emplace_back();
          findings.push_back({place, "must be a name"});
        }
      });
  return names;
}

auto ReadCascade(const json& item, const std::string& place, Findings& findings)
    -> CascadeRule {
  JsonObjectReader reader(item, place, findings);
  CascadeRule rule;
  rule.id = CascadeId(reader.Name("id", Presence::kRequired));
  rule.models = ReadReferences(reader, "models", {1, kMostVersions}, findings);
  reader.Finish();
  return rule;
}

auto ReadSteps(JsonObjectReader& reader, Findings& findings)
    -> std::vector<double> {
  std::vector<double> steps;
  reader.Items("steps", {1, kMostRolloutSteps}, Presence::kRequired,
               [&](const json& item, const std::string& place) {
                 const double share =
                     item.is_number() ? item.get<double>() : -1;
                 steps.push_back(share);
                 if (share < 0.0 || share > 1.0) {
                   findings.push_back({place, "must be a number from 0 to 1"});
                 }
               });
  return steps;
}

auto ReadRollout(const json& item, const std::string& place, Findings& findings)
    -> RolloutRule {
  JsonObjectReader reader(item, place, findings);
  RolloutRule rule;
  rule.id = RolloutId(reader.Name("id", Presence::kRequired));
  rule.model = reader.Name("model", Presence::kRequired);
  rule.from_version = reader.Name("from_version", Presence::kRequired);
  rule.to_version = reader.Name("to_version", Presence::kRequired);
  rule.steps = ReadSteps(reader, findings);
  rule.step = static_cast<std::uint32_t>(
      reader.Whole("step", {0, kMostRolloutSteps}, Presence::kOptional));
  rule.state = static_cast<RolloutRule::State>(
      reader.Word("state", {"running", "held", "finished"}, 0));
  rule.session_share =
      reader.Real("session_share", {0.0, 1.0}, Presence::kOptional);
  rule.least_answers_per_step = static_cast<std::uint32_t>(
      reader.Whole("least_answers_per_step", {1, kMostNumber},
                   Presence::kOptional, rule.least_answers_per_step));
  rule.tolerated_quality_loss =
      reader.Real("tolerated_quality_loss", {0.0, 1.0}, Presence::kOptional,
                  rule.tolerated_quality_loss);
  rule.reason = reader.Text("reason", kLongestReason, Presence::kOptional);
  reader.Finish();
  return rule;
}

auto ReadKeyDigests(JsonObjectReader& reader, Findings& findings)
    -> std::vector<std::string> {
  std::vector<std::string> digests;
  reader.Items(
      "key_digests", {1, kMostKeysPerAccount}, Presence::kRequired,
      [&](const json& item, const std::string& place) {
        if (item.is_string() &&
            IsSha256Digest(item.get_ref<const std::string&>())) {
          digests.push_back(item.get<std::string>());
        } else {
          digests.push_back(place);
          findings.push_back({place,
                              "must be a SHA-256 digest: 64 lower-case "
                              "hexadecimal digits"});
        }
      });
  return digests;
}

auto ReadAccount(const json& item, const std::string& place, Findings& findings)
    -> AccountRule {
  JsonObjectReader reader(item, place, findings);
  AccountRule rule;
  rule.id = ClientAccountId(reader.Name("id", Presence::kRequired));
  rule.key_digests = ReadKeyDigests(reader, findings);
  rule.allowed = ReadReferences(
      reader, "allowed", {0, kMostVersions + kMostCascades + kMostServices},
      findings);
  rule.quality_target =
      reader.Real("quality_target", {0.0, 1.0}, Presence::kOptional);
  constexpr double kLeastShare = 0.001;
  rule.share = reader.Real("share", {kLeastShare, kMostShare},
                           Presence::kOptional, rule.share);
  rule.buffer_streams = reader.Flag("buffer_streams", false);
  reader.Finish();
  return rule;
}

auto ReadService(const json& item, const std::string& place, Findings& findings)
    -> ServiceRule {
  JsonObjectReader reader(item, place, findings);
  ServiceRule rule;
  rule.id = ServiceId(reader.Name("id", Presence::kRequired));
  rule.idempotent = reader.Flag("idempotent", false);
  rule.price = ReadPrice(reader, findings);
  reader.Finish();
  return rule;
}

// Reads an array of objects with the reader of one.
template <class Rule>
auto ReadRules(JsonObjectReader& reader,
               std::string_view key,
               std::uint64_t most,
               Presence presence,
               Findings& findings,
               Rule (*read_one)(const json&, const std::string&, Findings&))
    -> std::vector<Rule> {
  std::vector<Rule> rules;
  reader.Items(key, {0, most}, presence,
               [&](const json& item, const std::string& place) {
                 rules.push_back(read_one(item, place, findings));
               });
  return rules;
}

}  // namespace

auto ReadDocument(std::string_view text) -> Parsed<Document> {
  Parsed<Document> parsed;
  Findings& findings = parsed.findings;
  const auto value = ParseJson(text, findings);
  if (!value) {
    return parsed;
  }
  JsonObjectReader reader(*value, "", findings);
  Document document;
  document.team = TeamId(reader.Name("team", Presence::kRequired));
  document.generation =
      reader.Whole("generation", {1, kMostGeneration}, Presence::kRequired);
  document.accounts = ReadRules(reader, "accounts", kMostAccounts,
                                Presence::kRequired, findings, &ReadAccount);
  document.versions = ReadRules(reader, "versions", kMostVersions,
                                Presence::kRequired, findings, &ReadVersion);
  document.cascades = ReadRules(reader, "cascades", kMostCascades,
                                Presence::kOptional, findings, &ReadCascade);
  document.rollouts = ReadRules(reader, "rollouts", kMostRollouts,
                                Presence::kOptional, findings, &ReadRollout);
  document.services = ReadRules(reader, "services", kMostServices,
                                Presence::kOptional, findings, &ReadService);
  reader.Finish();
  CheckDocument(document, findings);
  if (findings.empty()) {
    parsed.value = std::move(document);
  }
  return parsed;
}

}  // namespace zinniastep
