#include "libzinniastep/runtime/platform_answers.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <string>

#include <nlohmann/json.hpp>

#include "libzinniastep/base/bounded_json.h"

namespace zinniastep {

namespace {

using Json = nlohmann::json;

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kNotFound = 404;

auto HeaderNumber(const HttpResult& result, const char* name) -> std::uint64_t {
  const auto found = result.headers.find(name);
  std::uint64_t number = 0;
  if (found != result.headers.end()) {
    std::string_view text = found->second;
    if (text.starts_with('"') && text.size() >= 2) {
      text = text.substr(1, text.size() - 2);
    }
    std::from_chars(text.data(), text.data() + text.size(), number);
  }
  return number;
}

auto Text(const Json& object, const char* name) -> std::string {
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

auto Number(const Json& object, const char* name) -> std::uint64_t {
  const auto found = object.find(name);
  return found != object.end() && found->is_number_unsigned()
             ? found->get<std::uint64_t>()
             : 0;
}

auto Count(const Json& object, const char* name) -> std::uint32_t {
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(
      Number(object, name), std::numeric_limits<std::uint32_t>::max()));
}

auto Elements(const Json& object, const char* name) -> const Json& {
  static const Json none = Json::array();
  const auto found = object.find(name);
  return found != object.end() && found->is_array() ? *found : none;
}

auto ParseModelVersion(const std::string& text) -> ModelVersion {
  const auto at = text.rfind('@');
  if (at == std::string::npos) {
    return {};
  }
  return {text.substr(0, at), text.substr(at + 1)};
}

auto ReadObjects(const HttpResult& result)
    -> std::variant<StoreFound, StoreWritten, StoreConflict, StoreSilent> {
  const Json body = JsonOrDiscarded(result.body);
  if (!body.is_object()) {
    return StoreSilent{};
  }
  StoreFound found;
  found.revision = Number(body, "revision");
  for (const Json& object : Elements(body, "objects")) {
    if (object.is_object()) {
      found.objects.push_back({ObjectPath(Text(object, "path")),
                               Number(object, "version"),
                               Text(object, "value")});
    }
  }
  for (const Json& path : Elements(body, "deleted")) {
    if (path.is_string()) {
      found.deleted.emplace_back(path.get<std::string>());
    }
  }
  return found;
}

}  // namespace

auto ReadStoreAnswer(const HttpResult& result, const ObjectPath& path)
    -> StoreAnswered {
  StoreAnswered answered;
  answered.result = StoreSilent{};
  if (!result.complete) {
    return answered;
  }
  const bool is_read = !path.empty();
  if (result.status == kOk && !is_read) {
    answered.result = ReadObjects(result);
  } else if (result.status == kOk || result.status == kNotFound) {
    StoreFound found;
    found.revision = HeaderNumber(result, "x-revision");
    if (result.status == kOk) {
      found.objects.push_back(
          {path, HeaderNumber(result, "etag"), result.body});
    }
    answered.result = std::move(found);
  }
  return answered;
}

auto ReadLoadReport(const HttpResult& result) -> LoadPolled {
  LoadPolled polled;
  if (!result.complete || result.status != kOk) {
    return polled;
  }
  const Json body = JsonOrDiscarded(result.body);
  if (!body.is_object()) {
    return polled;
  }
  polled.answered = true;
  LoadReport& report = polled.report;
  report.incarnation = Number(body, "incarnation");
  report.running = Count(body, "running");
  report.queued = Count(body, "queued");
  const auto warm = body.find("warm");
  report.warm = warm != body.end() && warm->is_boolean() && warm->get<bool>();
  for (const Json& version : Elements(body, "versions")) {
    if (version.is_string()) {
      report.versions.push_back(ParseModelVersion(version.get<std::string>()));
    }
  }
  for (const Json& prefix : Elements(body, "cached_prefixes")) {
    if (prefix.is_number_unsigned()) {
      report.cached_prefixes.push_back(prefix.get<std::uint64_t>());
    }
  }
  return polled;
}

auto ReadHostListAnswer(const HttpResult& result)
    -> std::optional<HostListRead> {
  const Json body = JsonOrDiscarded(result.body);
  if (!result.complete || result.status != kOk || !body.is_object()) {
    return std::nullopt;
  }
  HostListRead list;
  for (const Json& host : Elements(body, "hosts")) {
    if (host.is_object()) {
      list.hosts.push_back({HostId(Text(host, "host")), Text(host, "address"),
                            Text(host, "state") == "leaving"});
    }
  }
  return list;
}

auto ReadRating(const HttpResult& result) -> std::optional<double> {
  const Json body = JsonOrDiscarded(result.body);
  if (!result.complete || result.status != kOk || !body.is_object()) {
    return std::nullopt;
  }
  const auto rating = body.find("rating");
  if (rating == body.end() || !rating->is_number()) {
    return std::nullopt;
  }
  return rating->get<double>();
}

}  // namespace zinniastep
