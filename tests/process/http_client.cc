#include "tests/process/http_client.h"

#include <curl/curl.h>

#include "libzinniastep/runtime/head_reader.h"

namespace zinniastep::testing {
namespace {

auto AppendBody(char* data, std::size_t size, std::size_t count, void* target)
    -> std::size_t {
  static_cast<HttpReply*>(target)->body.append(data, size * count);
  return size * count;
}

auto TakeHeader(char* data, std::size_t size, std::size_t count, void* target)
    -> std::size_t {
  const std::size_t length = size * count;
  return static_cast<HeadReader*>(target)->TakeLine({data, length}) ? length
                                                                    : 0;
}

}  // namespace

auto Exchange(const std::string& method,
              const std::string& url,
              const std::string& body,
              const std::vector<std::string>& headers,
              std::chrono::milliseconds patience) -> HttpReply {
  HttpReply reply;
  HeadReader head;
  CURL* curl = curl_easy_init();
  curl_slist* lines = curl_slist_append(nullptr, "Expect:");
  for (const std::string& header : headers) {
    lines = curl_slist_append(lines, header.c_str());
  }
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method.c_str());
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, lines);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(patience.count()));
  if (!body.empty() || method == "PUT" || method == "POST") {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(body.size()));
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.data());
  }
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &reply);
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, &TakeHeader);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, &head);
  reply.complete = curl_easy_perform(curl) == CURLE_OK && head.is_whole();
  reply.headers = head.headers();
  long status = 0;
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
  reply.status = static_cast<int>(status);
  curl_slist_free_all(lines);
  curl_easy_cleanup(curl);
  return reply;
}

}  // namespace zinniastep::testing
