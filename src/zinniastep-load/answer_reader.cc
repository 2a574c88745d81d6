#include "zinniastep-load/answer_reader.h"

#include <nlohmann/json.hpp>

#include "libzinniastep/base/bounded_json.h"
#include "zinniastep-standin/answer_text.h"

namespace zinniastep::load {
namespace {

using nlohmann::json;

constexpr std::string_view kData = "data: ";
constexpr std::string_view kDone = "[DONE]";

auto HeaderOr(const HttpResult& result, const std::string& name)
    -> std::string {
  const auto found = result.headers.find(name);
  return found == result.headers.end() ? std::string() : found->second;
}

auto Content(const json& body, const char* holder) -> std::string {
  const json::json_pointer place(std::string("/choices/0/") + holder +
                                 "/content");
  return body.is_object() && body.contains(place) && body[place].is_string()
             ? body[place].get<std::string>()
             : std::string();
}

// Text of a streamed answer; empty without its end mark.
auto StreamedText(std::string_view body) -> std::string {
  std::string text;
  bool done = false;
  while (!body.empty()) {
    const std::size_t end = std::min(body.find('\n'), body.size() - 1);
    std::string_view line = body.substr(0, end);
    body.remove_prefix(end + 1);
    if (!line.starts_with(kData)) {
      continue;
    }
    line.remove_prefix(kData.size());
    done = done || line.starts_with(kDone);
    text += Content(JsonOrDiscarded(line), "delta");
  }
  return done ? text : std::string();
}

auto IsWhole(const PlannedCall& call, const std::string& body) -> bool {
  if (!call.kind->service.empty()) {
    const json answer = JsonOrDiscarded(body);
    return answer.is_object() &&
           answer.value("digest", "") == standin::ShortDigest(call.prompt);
  }
  const std::string text = call.stream
                               ? StreamedText(body)
                               : Content(JsonOrDiscarded(body), "message");
  return standin::IsWholeAnswer(text, call.prompt + "\n");
}

// Error member of a refusal, or of the last event of a stream that was cut.
auto Error(const std::string& body) -> json {
  const std::size_t event = body.rfind(R"(data: {"error")");
  const std::string text =
      event == std::string::npos ? body : body.substr(event + kData.size());
  const json value = JsonOrDiscarded(text.substr(0, text.find('\n')));
  return value.is_object() ? value.value("error", json()) : json();
}

auto RefusalOutcome(const json& error) -> std::string {
  const std::string state =
      error.is_object() ? error.value("run_state", "") : "";
  const bool known = state == outcome::kNotRun || state == outcome::kRan ||
                     state == outcome::kUnknown;
  return known ? state : outcome::kBadRefusal;
}

}  // namespace

auto CountTokens(std::string_view data) -> std::uint32_t {
  constexpr std::string_view kToken = R"("content":")";
  std::uint32_t count = 0;
  for (std::size_t at = data.find(kToken); at != std::string_view::npos;
       at = data.find(kToken, at + 1)) {
    ++count;
  }
  return count;
}

auto JudgeTry(const PlannedCall& call,
              const HttpResult& result,
              const std::string& body) -> TryRecord {
  TryRecord record;
  record.status = result.status;
  record.request_id = HeaderOr(result, "x-request-id");
  record.version = HeaderOr(result, "x-model-version");
  const json error = Error(body);
  if (error.is_object()) {
    record.outcome = RefusalOutcome(error);
    record.code = error.value("code", "");
  } else if (!result.sent) {
    record.outcome = outcome::kUnreachable;
    record.code = result.error;
  } else if (!result.complete) {
    record.outcome = outcome::kNoAnswer;
    record.code = result.error;
  } else if (result.status >= 300) {
    record.outcome = outcome::kBadRefusal;
  } else {
    record.outcome =
        IsWhole(call, body) ? outcome::kAnswered : outcome::kWrongAnswer;
  }
  return record;
}

}  // namespace zinniastep::load
