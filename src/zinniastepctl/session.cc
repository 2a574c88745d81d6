#include "zinniastepctl/session.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "libzinniastep/base/bounded_json.h"

namespace zinniastep::ctl {

namespace {

using nlohmann::json;

constexpr std::uint16_t kFirstError = 300;

// Returns the object's generation in a region's status: an array of objects
// with "path" and "generation".
auto InStatus(const std::string& text, const ObjectPath& path)
    -> std::uint64_t {
  std::uint64_t newest = 0;
  try {
    const json status = JsonOrThrow(text);
    for (const json& object : status.at("objects")) {
      if (object.at("path") == path.text()) {
        newest = std::max(newest, WholeOrThrow(object.at("generation")));
      }
    }
  } catch (const json::exception&) {
    return 0;
  }
  return newest;
}

// Returns the object's generation in a host's state: an object that maps paths
// to generations.
auto InState(const std::string& text, const ObjectPath& path) -> std::uint64_t {
  try {
    const json state = JsonOrThrow(text);
    const json& generations = state.at("configuration");
    const auto found = generations.find(path.text());
    return found == generations.end() ? 0 : WholeOrThrow(*found);
  } catch (const json::exception&) {
    return 0;
  }
}

}  // namespace

auto AskHost(const Session& session,
             const std::string& method,
             const std::string& path) -> absl::StatusOr<std::string> {
  if (session.host_address.empty()) {
    return absl::InvalidArgumentError("needs --host=ADDRESS");
  }
  HttpRequest request;
  request.method = method;
  request.url = "http://" + session.host_address + path;
  request.headers = {"Authorization: Bearer " + session.operator_key};
  HttpResult result = session.http.Fetch(request);
  if (!result.complete) {
    return absl::UnavailableError("the host did not answer: " + result.error);
  }
  if (result.status >= kFirstError) {
    return absl::FailedPreconditionError("the host answered " +
                                         std::to_string(result.status) + ": " +
                                         result.body);
  }
  return std::move(result.body);
}

auto InForceGeneration(const Session& session, const ObjectPath& path)
    -> std::uint64_t {
  std::uint64_t newest = 0;
  if (const auto statuses = session.objects.List("status/"); statuses.ok()) {
    for (const StoredObject& status : *statuses) {
      newest = std::max(newest, InStatus(status.value, path));
    }
  }
  if (!session.host_address.empty()) {
    const auto state = AskHost(session, "GET", "/state");
    if (state.ok()) {
      newest = std::max(newest, InState(*state, path));
    }
  }
  return newest;
}

}  // namespace zinniastep::ctl
