#include "libzinniastep/traffic/forwarded_request.h"

#include <algorithm>

#include "libzinniastep/traffic/http_text.h"

namespace zinniastep {

namespace http = boost::beast::http;

auto ForwardedRequestText(const CallerRequest& request,
                          const ForwardingHeaders& names,
                          const ForwardedFields& fields) -> std::string {
  http::request_header<> head;
  head.method_string(request.method_string());
  head.target(request.target());
  head.version(11);
  for (const auto& field : request) {
    const std::string_view name = ToView(field.name_string());
    const bool is_reserved = std::ranges::any_of(
        names.reserved,
        [name](const std::string& known) { return SameName(known, name); });
    if (is_reserved || IsHopByHop(request, name) ||
        SameName(name, "Content-Length") || SameName(name, "Authorization") ||
        SameName(name, names.time_remaining) ||
        (fields.model.has_value() && SameName(name, names.model)) ||
        (fields.last_event.has_value() &&
         SameName(name, names.last_event_id))) {
      continue;
    }
    head.insert(field.name_string(), field.value());
  }
  const auto set = [&head](const std::string& name, std::string_view value) {
    head.set(name, FromView(value));
  };
  set(names.time_remaining,
      std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                         fields.time_left)
                         .count()));
  set(names.expected_server, fields.expected_server);
  if (fields.account.has_value()) {
    set(names.account, *fields.account);
  }
  if (fields.model.has_value()) {
    set(names.model, *fields.model);
  }
  if (fields.last_event.has_value()) {
    set(names.last_event_id, std::to_string(*fields.last_event));
  }
  if (fields.urgency.has_value()) {
    set(names.urgency, std::to_string(*fields.urgency));
  }
  if (!request.body().empty() ||
      HeaderValue(request, "Content-Length") == "0") {
    set("Content-Length", std::to_string(request.body().size()));
  }
  return HeadText(head) + request.body();
}

}  // namespace zinniastep
