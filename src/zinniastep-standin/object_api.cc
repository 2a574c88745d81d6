#include "zinniastep-standin/object_api.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <utility>

#include "libzinniastep/runtime/percent_coding.h"

namespace zinniastep::standin {
namespace {

constexpr std::size_t kLongestValue = std::size_t{1} << 20;
constexpr Duration kLongestWatch = std::chrono::seconds(20);
constexpr std::string_view kObjects = "/objects/";

auto Number(const std::string& text) -> std::uint64_t {
  return std::strtoull(text.c_str(), nullptr, 10);
}

auto Unquoted(std::string text) -> std::string {
  std::erase(text, '"');
  return text;
}

}  // namespace

ObjectApi::ObjectApi(std::uint64_t seed, EventLoop& loop, StoreAccount& account)
    : random_(seed), loop_(loop), account_(account) {}

auto ObjectApi::Put(const std::string& path, std::string value) -> void {
  state_.objects[path] = {++state_.revision, std::move(value)};
  state_.deleted.erase(path);
  WakeWatches(path);
}

auto ObjectApi::Handle(const Request& request) -> void {
  if (outage_ == "silent") {
    ++account_.refused;
    unanswered_.push_back(request);
    return;
  }
  if (outage_ == "refuse") {
    ++account_.refused;
    SendError(*request.writer, 503, "outage");
    return;
  }
  if (slow_ > Duration(0)) {
    loop_.After(slow_, [this, request] { Serve(request); });
    return;
  }
  Serve(request);
}

auto ObjectApi::SetFault(const nlohmann::json& fault) -> void {
  outage_ = Member(fault, "outage", outage_);
  slow_ = std::chrono::milliseconds(Member<std::int64_t>(
      fault, "slow_ms",
      std::chrono::duration_cast<std::chrono::milliseconds>(slow_).count()));
  lose_share_ = Member(fault, "lose_share", lose_share_);
  lose_next_ = Member(fault, "lose_next", lose_next_);
  lose_path_ = Member(fault, "lose_path", lose_path_);
  if (Member(fault, "snapshot", false)) {
    snapshot_ = state_;
  }
  if (Member(fault, "restore", false)) {
    state_ = snapshot_;
    WakeWatches("");
  }
  if (outage_ == "none") {
    for (const Request& request : std::exchange(unanswered_, {})) {
      request.writer->Abort();
    }
  } else {
    for (const Watch& watch : std::exchange(watches_, {})) {
      watch.request.writer->Abort();
    }
  }
}

auto ObjectApi::Serve(const Request& request) -> void {
  if (request.path == "/list") {
    ++account_.reads;
    auto found = Found(request, 0);
    found.erase("deleted");
    SendJson(*request.writer, 200, found);
    return;
  }
  if (request.path == "/watch") {
    StartWatch(request);
    return;
  }
  const std::string path = PercentDecode(request.path.substr(kObjects.size()));
  if (request.method == "GET") {
    Read(request, path);
  } else {
    Change(request, path);
  }
}

auto ObjectApi::Read(const Request& request, const std::string& path) -> void {
  ++account_.reads;
  const auto found = state_.objects.find(path);
  const HttpHeader revision{"X-Revision", std::to_string(state_.revision)};
  if (found == state_.objects.end()) {
    request.writer->Send(404, std::array{revision}, "");
    return;
  }
  const std::array headers = {
      revision, HttpHeader{"ETag", std::to_string(found->second.version)}};
  request.writer->Send(200, headers, found->second.value);
}

auto ObjectApi::Change(const Request& request, const std::string& path)
    -> void {
  ++account_.writes;
  if (!request.if_match.has_value()) {
    SendError(*request.writer, 428, "no_version");
    return;
  }
  if (request.body.size() > kLongestValue) {
    SendError(*request.writer, 413, "too_large");
    return;
  }
  const auto found = state_.objects.find(path);
  const std::uint64_t current =
      found == state_.objects.end() ? 0 : found->second.version;
  if (Number(Unquoted(*request.if_match)) != current) {
    ++account_.conflicts;
    const std::array headers = {HttpHeader{"ETag", std::to_string(current)}};
    request.writer->Send(409, headers, "");
    return;
  }
  if (request.method == "DELETE") {
    state_.objects.erase(path);
    state_.deleted[path] = ++state_.revision;
    WakeWatches(path);
  } else {
    Put(path, request.body);
  }
  if (LosesAnswer(path)) {
    ++account_.lost_answers;
    request.writer->Abort();
    return;
  }
  const std::array headers = {
      HttpHeader{"ETag", std::to_string(state_.revision)}};
  request.writer->Send(200, headers, "");
}

auto ObjectApi::StartWatch(const Request& request) -> void {
  ++account_.watches;
  const auto found = Found(request, Number(request.after));
  if (!found["objects"].empty() || !found["deleted"].empty()) {
    SendJson(*request.writer, 200, found);
    return;
  }
  const std::uint64_t id = ++last_watch_;
  watches_.push_back({id, request});
  loop_.After(kLongestWatch, [this, id] {
    const auto due = std::ranges::find(watches_, id, &Watch::id);
    if (due != watches_.end()) {
      SendJson(*due->request.writer, 200, Found(due->request, state_.revision));
      watches_.erase(due);
    }
  });
}

auto ObjectApi::WakeWatches(const std::string& path) -> void {
  std::vector<Watch> asleep;
  for (Watch& watch : std::exchange(watches_, {})) {
    const std::string& prefix = watch.request.prefix;
    if (path.empty() || path.starts_with(prefix)) {
      SendJson(*watch.request.writer, 200,
               Found(watch.request, Number(watch.request.after)));
    } else if (watch.request.writer->alive()) {
      asleep.push_back(std::move(watch));
    }
  }
  watches_ = std::move(asleep);
}

auto ObjectApi::Found(const Request& request, std::uint64_t after) const
    -> nlohmann::json {
  auto objects = nlohmann::json::array();
  const std::string& prefix = request.prefix;
  for (auto object = state_.objects.lower_bound(prefix);
       object != state_.objects.end() && object->first.starts_with(prefix);
       ++object) {
    if (object->second.version > after) {
      objects.push_back({{"path", object->first},
                         {"version", object->second.version},
                         {"value", object->second.value}});
    }
  }
  auto deleted = nlohmann::json::array();
  for (const auto& [path, version] : state_.deleted) {
    if (version > after && path.starts_with(prefix)) {
      deleted.push_back(path);
    }
  }
  return {{"revision", state_.revision},
          {"objects", std::move(objects)},
          {"deleted", std::move(deleted)}};
}

auto ObjectApi::LosesAnswer(const std::string& path) -> bool {
  if (!path.starts_with(lose_path_)) {
    return false;
  }
  if (lose_next_ > 0) {
    --lose_next_;
    return true;
  }
  return random_.Unit() < lose_share_;
}

}  // namespace zinniastep::standin
