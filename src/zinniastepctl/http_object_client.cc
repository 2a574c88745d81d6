#include "zinniastepctl/http_object_client.h"

#include <cstdlib>
#include <memory>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "libzinniastep/base/bounded_json.h"
#include "libzinniastep/runtime/percent_coding.h"

namespace zinniastep::ctl {

namespace {

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kConflict = 409;
constexpr std::size_t kLongestList = 64U << 20U;

auto VersionOf(const HttpResult& result) -> ObjectVersion {
  const auto etag = result.headers.find("etag");
  if (etag == result.headers.end()) {
    return 0;
  }
  const std::size_t digits = etag->second.find_first_of("0123456789");
  return digits == std::string::npos
             ? 0
             : std::strtoull(etag->second.c_str() + digits, nullptr, 10);
}

auto Failure(const HttpResult& result) -> absl::Status {
  return absl::UnavailableError(
      result.complete
          ? "the object API answered " + std::to_string(result.status)
          : "the object API did not answer: " + result.error);
}

auto ToObject(std::string_view item) -> StoredObject {
  const auto object = JsonOrThrow(item);
  const auto& value = object.at("value");
  return {ObjectPath(object.at("path").get<std::string>()),
          WholeOrThrow(object.at("version")),
          value.is_string() ? value.get<std::string>() : value.dump()};
}

// Returns nullopt if the body is no list. An object that cannot be read is left
// out.
auto ToObjects(const std::string& body)
    -> std::optional<std::vector<StoredObject>> {
  const auto members = SplitJsonObject(body);
  const auto items = members.has_value()
                         ? SplitJsonArray(FindMember(*members, "objects"))
                         : std::nullopt;
  if (!items.has_value()) {
    return std::nullopt;
  }
  std::vector<StoredObject> objects;
  for (const std::string_view item : *items) {
    try {
      objects.push_back(ToObject(item));
    } catch (const nlohmann::json::exception&) {
      continue;
    }
  }
  return objects;
}

}  // namespace

HttpObjectClient::HttpObjectClient(const HttpClient& http, std::string address)
    : http_(http), address_(std::move(address)) {}

auto HttpObjectClient::Read(const ObjectPath& path)
    -> absl::StatusOr<std::optional<StoredObject>> {
  HttpRequest request;
  request.url = "http://" + address_ + "/objects/" + PercentEncode(path.text());
  const HttpResult result = http_.Fetch(request);
  if (result.complete && result.status == kNotFound) {
    return std::optional<StoredObject>();
  }
  if (!result.complete || result.status != kOk) {
    return Failure(result);
  }
  return std::optional(StoredObject{path, VersionOf(result), result.body});
}

auto HttpObjectClient::List(const std::string& prefix)
    -> absl::StatusOr<std::vector<StoredObject>> {
  HttpRequest request;
  request.url = "http://" + address_ + "/list?prefix=" + PercentEncode(prefix);
  request.longest_body = kLongestList;
  const HttpResult result = http_.Fetch(request);
  if (!result.complete || result.status != kOk) {
    return Failure(result);
  }
  auto objects = ToObjects(result.body);
  if (!objects) {
    return absl::UnavailableError("the object API's list cannot be read");
  }
  return std::move(*objects);
}

auto HttpObjectClient::Write(const ObjectPath& path,
                             ObjectVersion expected,
                             const std::string& value) -> WriteResult {
  HttpRequest request;
  request.method = "PUT";
  request.url = "http://" + address_ + "/objects/" + PercentEncode(path.text());
  request.headers = {"If-Match: " + std::to_string(expected),
                     "Content-Type: application/json"};
  request.body = std::make_shared<const std::string>(value);
  const HttpResult result = http_.Fetch(request);
  if (result.complete && result.status == kOk) {
    return StoreWritten{VersionOf(result)};
  }
  if (result.complete && result.status == kConflict) {
    return StoreConflict{VersionOf(result)};
  }
  return StoreSilent{};
}

}  // namespace zinniastep::ctl
