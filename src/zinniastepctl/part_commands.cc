#include "zinniastepctl/part_commands.h"

#include <chrono>
#include <fstream>
#include <iterator>
#include <optional>

#include <nlohmann/json.hpp>

#include "libzinniastep/base/bounded_json.h"
#include "libzinniastep/gateway/gateway_settings.h"
#include "libzinniastep/gateway/operator_proof.h"
#include "libzinniastep/runtime/percent_coding.h"

namespace zinniastep::ctl {

namespace {

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kNoContent = 204;
constexpr std::uint16_t kNotFound = 404;

auto ReadSettings(const Session& session, const std::string& path)
    -> std::optional<GatewaySettings> {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    session.err << "cannot read " << path << "\n";
    return std::nullopt;
  }
  auto parsed = ReadGatewaySettings(
      std::string(std::istreambuf_iterator<char>(file), {}));
  for (const Finding& finding : parsed.findings) {
    session.err << path << ": " << finding.place << ": " << finding.message
                << "\n";
  }
  if (parsed.value.has_value() && parsed.value->metrics_address.empty()) {
    session.err << path << ": /metrics_address: is missing\n";
    return std::nullopt;
  }
  return std::move(parsed.value);
}

auto Unreachable(const Session& session, const HttpResult& result) -> ExitCode {
  session.err << (result.complete
                      ? "the host answered " + std::to_string(result.status)
                      : "the host did not answer: " + result.error)
              << "\n";
  return ExitCode::kUnreachable;
}

auto PrintHeld(const Session& session, const nlohmann::json& held) -> void {
  std::string parts;
  for (const auto& part : held.at("parts")) {
    parts += (parts.empty() ? "" : ",") + part.get<std::string>();
  }
  session.out << parts << "  servers ended: " << held.at("endings")
              << ", requests: " << held.at("requests")
              << ", held for: " << held.at("held_s").get<int>()
              << " s, refused: " << held.at("refused")
              << ", trials: " << held.at("trials") << ", next trial: ";
  if (held.contains("next_trial_s")) {
    session.out << "in " << held.at("next_trial_s").get<int>() << " s\n";
  } else {
    session.out << "none\n";
  }
}

}  // namespace

auto ListHeldParts(const Session& session, const std::string& settings)
    -> ExitCode {
  const auto gateway = ReadSettings(session, settings);
  if (!gateway.has_value()) {
    return ExitCode::kFindings;
  }
  HttpRequest request;
  request.url = "http://" + gateway->metrics_address + "/held-parts";
  const HttpResult result = session.http.Fetch(request);
  if (!result.complete || result.status != kOk) {
    return Unreachable(session, result);
  }
  const auto answer = JsonOrDiscarded(result.body);
  try {
    for (const auto& held : answer.at("held")) {
      if (session.json) {
        session.out << held.dump() << "\n";
      } else {
        PrintHeld(session, held);
      }
    }
  } catch (const nlohmann::json::exception&) {
    session.err << "the host's list cannot be read\n";
    return ExitCode::kUnreachable;
  }
  return ExitCode::kOk;
}

auto ReleasePart(const Session& session,
                 const std::string& settings,
                 const std::string& part) -> ExitCode {
  const auto gateway = ReadSettings(session, settings);
  if (!gateway.has_value()) {
    return ExitCode::kFindings;
  }
  const std::string path = "/held-parts/" + PercentEncode(part);
  const auto now = std::chrono::duration_cast<std::chrono::seconds>(
      std::chrono::system_clock::now().time_since_epoch());
  HttpRequest request;
  request.method = "DELETE";
  request.url = "http://" + gateway->metrics_address + path;
  request.headers = {"Authorization: " +
                     OperatorProof(gateway->signing_keys.front(), "DELETE",
                                   path, now.count())};
  const HttpResult result = session.http.Fetch(request);
  if (result.complete && result.status == kNotFound) {
    session.err << "the host does not hold " << part << "\n";
    return ExitCode::kFindings;
  }
  if (!result.complete || result.status != kNoContent) {
    return Unreachable(session, result);
  }
  session.out << "released " << part << "\n";
  return ExitCode::kOk;
}

}  // namespace zinniastep::ctl
