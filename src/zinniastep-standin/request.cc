#include "zinniastep-standin/request.h"

#include <array>

#include "libzinniastep/base/bounded_json.h"

namespace zinniastep::standin {

auto CopyRequest(const HttpRequestView& view,
                 const std::shared_ptr<StreamWriter>& writer) -> Request {
  return {.method = std::string(view.method()),
          .path = std::string(view.path()),
          .body = std::string(view.body()),
          .prefix = view.query("prefix").value_or(""),
          .after = view.query("after").value_or("0"),
          .if_match = view.header("If-Match"),
          .attempt = view.header("X-Attempt-Id").value_or(""),
          .request_id = view.header("X-Request-Id").value_or(""),
          .account = view.header("X-Client-Account").value_or(""),
          .key = view.header("X-Idempotency-Key").value_or(""),
          .session = view.header("X-Session").value_or(""),
          .version = view.header("X-Model-Version").value_or(""),
          .writer = writer};
}

auto SendJson(StreamWriter& writer, int status, const nlohmann::json& body)
    -> void {
  const std::array headers = {HttpHeader{"Content-Type", "application/json"}};
  writer.Send(status, headers, body.dump());
}

auto SendError(StreamWriter& writer, int status, const std::string& code)
    -> void {
  SendJson(writer, status, {{"error", {{"code", code}}}});
}

auto ParseObject(const std::string& text) -> nlohmann::json {
  auto value = JsonOrDiscarded(text);
  return value.is_object() ? value : nlohmann::json::object();
}

}  // namespace zinniastep::standin
