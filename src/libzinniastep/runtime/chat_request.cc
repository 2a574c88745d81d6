#include "libzinniastep/runtime/chat_request.h"

#include <string>

#include <nlohmann/json.hpp>

#include "libzinniastep/base/bounded_json.h"
#include "libzinniastep/base/hash.h"

namespace zinniastep {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kMostMessages = 4096;
constexpr std::size_t kLongestModelName = 256;
// Leading bytes of the prompt that decide where its prefix may be cached.
constexpr std::size_t kPrefixBytes = 512;

// Adds a message's text to the prompt; returns false when it is malformed.
auto AppendText(const Json& message, std::string& prompt) -> bool {
  const auto role = message.find("role");
  const auto content = message.find("content");
  if (role == message.end() || !role->is_string() || content == message.end()) {
    return false;
  }
  if (content->is_string()) {
    prompt.append(content->get_ref<const std::string&>());
    return true;
  }
  if (!content->is_array()) {
    return content->is_null();
  }
  for (const Json& part : *content) {
    const bool has_text =
        part.is_object() && part.contains("text") && part["text"].is_string();
    if (has_text) {
      prompt.append(part["text"].get_ref<const std::string&>());
    }
  }
  return true;
}

auto ReadPrompt(const Json& body) -> absl::StatusOr<std::string> {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return absl::InvalidArgumentError("/messages must be a non-empty array");
  }
  if (messages->size() > kMostMessages) {
    return absl::InvalidArgumentError("/messages has too many elements");
  }
  std::string prompt;
  for (std::size_t i = 0; i < messages->size(); ++i) {
    const Json& message = (*messages)[i];
    if (!message.is_object() || !AppendText(message, prompt)) {
      return absl::InvalidArgumentError(
          "/messages/" + std::to_string(i) +
          " must have a string role and a content");
    }
  }
  return prompt;
}

}  // namespace

auto ReadChatRequest(std::string_view body) -> absl::StatusOr<ChatCall> {
  const Json parsed = JsonOrDiscarded(body);
  if (parsed.is_discarded()) {
    return absl::InvalidArgumentError("the body is not valid JSON in UTF-8");
  }
  if (!parsed.is_object()) {
    return absl::InvalidArgumentError("the body must be an object");
  }
  ChatCall call;
  const auto model = parsed.find("model");
  if (model == parsed.end() || !model->is_string() ||
      model->get_ref<const std::string&>().size() > kLongestModelName) {
    return absl::InvalidArgumentError("/model must be a short string");
  }
  call.model = model->get<std::string>();
  if (const auto stream = parsed.find("stream"); stream != parsed.end()) {
    if (!stream->is_boolean()) {
      return absl::InvalidArgumentError("/stream must be true or false");
    }
    call.stream = stream->get<bool>();
  }
  auto prompt = ReadPrompt(parsed);
  if (!prompt.ok()) {
    return prompt.status();
  }
  call.prompt_tokens =
      static_cast<std::uint32_t>(prompt->size() / kBytesPerToken + 1);
  call.prefix_hash =
      StableHash(std::string_view(*prompt).substr(0, kPrefixBytes));
  return call;
}

}  // namespace zinniastep
