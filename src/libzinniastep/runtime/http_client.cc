#include "libzinniastep/runtime/http_client.h"

#include <curl/curl.h>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include "libzinniastep/runtime/head_reader.h"

namespace zinniastep {

namespace {

using Handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

struct Receiver {
  HttpResult result;
  HeadReader head;
  std::size_t longest_body = 0;
};

auto TakeBody(char* bytes, std::size_t size, std::size_t count, void* user)
    -> std::size_t {
  auto& receiver = *static_cast<Receiver*>(user);
  if (receiver.result.body.size() + size * count > receiver.longest_body) {
    return 0;
  }
  receiver.result.body.append(bytes, size * count);
  return size * count;
}

auto TakeHeader(char* bytes, std::size_t size, std::size_t count, void* user)
    -> std::size_t {
  auto& receiver = *static_cast<Receiver*>(user);
  const std::size_t length = size * count;
  return receiver.head.TakeLine({bytes, length}) ? length : 0;
}

auto ToMilliseconds(Duration time) -> long {
  using std::chrono::milliseconds;
  return std::chrono::duration_cast<milliseconds>(time).count();
}

}  // namespace

HttpClient::HttpClient() {
  curl_global_init(CURL_GLOBAL_DEFAULT);
}

auto HttpClient::Fetch(const HttpRequest& request) const -> HttpResult {
  Receiver receiver{{}, {}, request.longest_body};
  const Handle handle(curl_easy_init(), &curl_easy_cleanup);
  curl_slist* lines = curl_slist_append(nullptr, "Expect:");
  for (const std::string& header : request.headers) {
    lines = curl_slist_append(lines, header.c_str());
  }
  const HeaderList headers(lines, &curl_slist_free_all);
  CURL* curl = handle.get();
  curl_easy_setopt(curl, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, ToMilliseconds(request.timeout));
  curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
                   ToMilliseconds(request.send_within));
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &TakeBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &receiver);
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, &TakeHeader);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, &receiver);
  if (request.body) {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request.body->data());
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body->size()));
  }
  const CURLcode code = curl_easy_perform(curl);
  HttpResult result = std::move(receiver.result);
  long status = 0;
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
  const bool has_head = receiver.head.is_whole();
  result.headers = receiver.head.headers();
  result.status = has_head ? static_cast<std::uint16_t>(status) : 0;
  result.sent = code != CURLE_COULDNT_CONNECT;
  result.complete = code == CURLE_OK && has_head;
  if (code != CURLE_OK) {
    result.error = curl_easy_strerror(code);
  } else if (!has_head) {
    result.error = kBrokenHead;
  }
  return result;
}

}  // namespace zinniastep
