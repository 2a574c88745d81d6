#include "libzinniastep/runtime/platform_client.h"

#include <chrono>
#include <utility>

#include <nlohmann/json.hpp>

#include "libzinniastep/runtime/percent_coding.h"
#include "libzinniastep/runtime/platform_answers.h"

namespace zinniastep {

namespace {

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kConflict = 409;
constexpr Duration kStoreTimeout = std::chrono::seconds(3);
// A watch is answered within 20 s even when nothing changes.
constexpr Duration kWatchTimeout = std::chrono::seconds(25);
constexpr Duration kPollTimeout = std::chrono::seconds(1);
constexpr Duration kRatingTimeout = std::chrono::seconds(5);

auto Version(const HttpResult& result) -> ObjectVersion {
  const auto found = result.headers.find("etag");
  if (found == result.headers.end()) {
    return 0;
  }
  std::string text = found->second;
  std::erase(text, '"');
  return std::strtoull(text.c_str(), nullptr, 10);
}

auto ReadWriteAnswer(const HttpResult& result) -> StoreAnswered {
  StoreAnswered answered;
  answered.result = StoreSilent{};
  if (result.complete && result.status == kOk) {
    answered.result = StoreWritten{Version(result)};
  } else if (result.complete && result.status == kConflict) {
    answered.result = StoreConflict{Version(result)};
  }
  return answered;
}

}  // namespace

PlatformClient::PlatformClient(PlatformAddresses addresses,
                               HttpLoop& loop,
                               Metrics& metrics,
                               EventSink events)
    : addresses_(std::move(addresses)),
      loop_(loop),
      metrics_(metrics),
      events_(std::move(events)) {}

auto PlatformClient::Store(StoreToken token,
                           HttpRequest request,
                           const ObjectPath& path) -> void {
  metrics_.Count("store_calls");
  const bool is_write = request.method != "GET";
  request.send_within = request.timeout;
  // A repeated conditional write would meet its own effect as a conflict.
  request.at_most_once = is_write;
  loop_.Submit(std::move(request), [this, token, path,
                                    is_write](const HttpResult& result) {
    StoreAnswered answered =
        is_write ? ReadWriteAnswer(result) : ReadStoreAnswer(result, path);
    answered.token = token;
    metrics_.Observe("store_call", result.total);
    events_(std::move(answered));
  });
}

auto PlatformClient::Do(const ReadObject& action) -> void {
  HttpRequest request;
  request.url = "http://" + addresses_.store + "/objects/" + action.path.text();
  request.timeout = kStoreTimeout;
  Store(action.token, std::move(request), action.path);
}

auto PlatformClient::Do(const ListObjects& action) -> void {
  HttpRequest request;
  request.url = "http://" + addresses_.store +
                "/list?prefix=" + PercentEncode(action.prefix.text());
  request.timeout = kStoreTimeout;
  request.longest_body = 64U << 20U;
  Store(action.token, std::move(request), ObjectPath());
}

auto PlatformClient::Do(const WatchObjects& action) -> void {
  HttpRequest request;
  request.url = "http://" + addresses_.store +
                "/watch?prefix=" + PercentEncode(action.prefix.text()) +
                "&after=" + std::to_string(action.after);
  request.timeout = kWatchTimeout;
  request.longest_body = 64U << 20U;
  Store(action.token, std::move(request), ObjectPath());
}

auto PlatformClient::Do(const WriteObject& action) -> void {
  HttpRequest request;
  request.method = "PUT";
  request.url = "http://" + addresses_.store + "/objects/" + action.path.text();
  request.headers = {"If-Match: " + std::to_string(action.expected),
                     "Content-Type: application/json"};
  request.body = std::make_shared<const std::string>(action.value);
  request.timeout = kStoreTimeout;
  Store(action.token, std::move(request), action.path);
}

auto PlatformClient::Do(const DeleteObject& action) -> void {
  HttpRequest request;
  request.method = "DELETE";
  request.url = "http://" + addresses_.store + "/objects/" + action.path.text();
  request.headers = {"If-Match: " + std::to_string(action.expected)};
  request.timeout = kStoreTimeout;
  Store(action.token, std::move(request), action.path);
}

auto PlatformClient::Do(const PollLoad& action) -> void {
  HttpRequest request;
  request.url = "http://" + action.address + "/load";
  request.timeout = kPollTimeout;
  request.send_within = kPollTimeout;
  loop_.Submit(std::move(request),
               [this, server = action.server](const HttpResult& result) {
                 LoadPolled polled = ReadLoadReport(result);
                 polled.server = server;
                 polled.report.server = server;
                 events_(std::move(polled));
               });
}

auto PlatformClient::Do(const SendOrder& action) -> void {
  const nlohmann::json body = {{"fence", action.fence},
                               {"action", action.load ? "load" : "unload"},
                               {"model", action.version.model},
                               {"version", action.version.version}};
  HttpRequest request;
  request.method = "POST";
  request.url = "http://" + action.address + "/orders";
  request.headers = {"Content-Type: application/json"};
  request.body = std::make_shared<const std::string>(body.dump());
  request.timeout = action.deliver_within;
  request.send_within = action.deliver_within;
  request.at_most_once = true;
  OrderAnswered answered;
  answered.server = action.server;
  answered.fence = action.fence;
  answered.version = action.version;
  loop_.Submit(std::move(request),
               [this, answered](const HttpResult& result) mutable {
                 if (!result.complete) {
                   answered.outcome = OrderOutcome::kSilent;
                 } else if (result.status == kOk) {
                   answered.outcome = OrderOutcome::kDone;
                 } else if (result.status == kConflict) {
                   answered.outcome = OrderOutcome::kRefusedOld;
                 } else {
                   answered.outcome = OrderOutcome::kFailed;
                 }
                 events_(answered);
               });
}

auto PlatformClient::Do(const RequestRating& action) -> void {
  if (addresses_.rating.empty()) {
    return;
  }
  const nlohmann::json body = {{"request", ToString(action.request)},
                               {"model", action.version.model},
                               {"version", action.version.version},
                               {"task_class", action.task_class.text()}};
  HttpRequest request;
  request.method = "POST";
  request.url = "http://" + addresses_.rating + "/rate";
  request.headers = {"Content-Type: application/json"};
  request.body = std::make_shared<const std::string>(body.dump());
  request.timeout = kRatingTimeout;
  request.send_within = kRatingTimeout;
  loop_.Submit(std::move(request),
               [this, id = action.request](const HttpResult& result) {
                 if (const auto rating = ReadRating(result)) {
                   events_(AnswerRated{id, *rating});
                 }
               });
}

auto PlatformClient::Do(const ReadHostList& /*action*/) -> void {
  if (addresses_.host_list.empty()) {
    return;
  }
  HttpRequest request;
  request.url = "http://" + addresses_.host_list + "/hosts";
  request.timeout = kStoreTimeout;
  request.send_within = kStoreTimeout;
  loop_.Submit(std::move(request), [this](const HttpResult& result) {
    if (auto list = ReadHostListAnswer(result)) {
      events_(*std::move(list));
    }
  });
}

}  // namespace zinniastep
