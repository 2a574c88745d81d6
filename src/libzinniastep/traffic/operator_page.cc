#include "libzinniastep/traffic/operator_page.h"

#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "libzinniastep/gateway/operator_proof.h"
#include "libzinniastep/gateway/part_quarantine.h"
#include "libzinniastep/runtime/exposition_text.h"
#include "libzinniastep/traffic/http_text.h"

namespace zinniastep {

namespace {

namespace http = boost::beast::http;

constexpr std::string_view kHeldParts = "/held-parts";
constexpr int kHttpVersion = 11;

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

OperatorPage::OperatorPage(TrafficEngine& engine,
                           const Metrics& metrics,
                           std::vector<std::string> keys)
    : engine_(engine), metrics_(metrics), keys_(std::move(keys)) {}

auto OperatorPage::Answer(const CallerRequest& request,
                          std::int64_t unix_seconds) -> WholeAnswer {
  const std::string_view path = ToView(request.target());
  if (request.method() == http::verb::delete_) {
    return Release(request, unix_seconds);
  }
  WholeAnswer answer(http::status::ok, kHttpVersion);
  if (path == kHeldParts) {
    answer.set(http::field::content_type, "application/json");
    answer.body() = HeldPartsJson();
    return answer;
  }
  answer.set(http::field::content_type, kExpositionContentType);
  answer.body() = ExpositionText(metrics_.Snapshot());
  return answer;
}

auto OperatorPage::HeldPartsJson() -> std::string {
  const Instant now = engine_.Now();
  auto list = nlohmann::json::array();
  for (const HeldParts& held : engine_.quarantine().held()) {
    auto parts = nlohmann::json::array();
    for (const PromptPartId part : held.parts) {
      parts.push_back(ToText(part));
    }
    nlohmann::json entry = {{"parts", std::move(parts)},
                            {"endings", held.endings},
                            {"requests", held.requests},
                            {"held_s", Seconds(now - held.held_since)},
                            {"last_ended_s", Seconds(now - held.last_ended_at)},
                            {"refused", held.refused},
                            {"trials", held.trials}};
    if (held.next_trial.has_value()) {
      entry["next_trial_s"] = Seconds(*held.next_trial - now);
    }
    list.push_back(std::move(entry));
  }
  return nlohmann::json{{"held", std::move(list)}}.dump();
}

auto OperatorPage::Release(const CallerRequest& request,
                           std::int64_t unix_seconds) -> WholeAnswer {
  const std::string_view path = ToView(request.target());
  const std::string start = std::string(kHeldParts) + "/";
  if (!path.starts_with(start) || path.size() == start.size()) {
    return {http::status::not_found, kHttpVersion};
  }
  const std::string_view proof =
      HeaderValue(request, "Authorization").value_or(std::string_view());
  if (!IsOperatorProof(proof, keys_, "DELETE", path, unix_seconds)) {
    return {http::status::unauthorized, kHttpVersion};
  }
  const PromptPartId part = ReadPromptPartId(path.substr(start.size()));
  return {engine_.ReleasePart(part) ? http::status::no_content
                                    : http::status::not_found,
          kHttpVersion};
}

}  // namespace zinniastep
