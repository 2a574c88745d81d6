#ifndef ZINNIASTEP_STANDIN_REQUEST_H_
#define ZINNIASTEP_STANDIN_REQUEST_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "libzinniastep/runtime/http_server.h"

namespace zinniastep::standin {

// A received request, kept until the loop has answered it.
struct Request {
  std::string method;
  std::string path;
  std::string body;
  // Parameters of the object API's list and watch.
  std::string prefix;
  std::string after;
  std::optional<std::string> if_match;
  // What the entry host says of the request.
  std::string attempt;
  std::string request_id;
  std::string account;
  std::string key;
  std::string session;
  std::string version;
  std::shared_ptr<StreamWriter> writer;
};

// Copies what the stand-in needs of a request.
auto CopyRequest(const HttpRequestView& view,
                 const std::shared_ptr<StreamWriter>& writer) -> Request;

// Answers with a JSON body.
auto SendJson(StreamWriter& writer, int status, const nlohmann::json& body)
    -> void;

// Answers with an error code, as engines write it.
auto SendError(StreamWriter& writer, int status, const std::string& code)
    -> void;

// Parses a JSON object; an empty one when the text is none.
auto ParseObject(const std::string& text) -> nlohmann::json;

// Member of an object, or the fallback when it is absent or of another type.
template <class T>
auto Member(const nlohmann::json& object, const char* name, T fallback) -> T {
  try {
    return object.value(name, fallback);
  } catch (const nlohmann::json::exception&) {
    return fallback;
  }
}

}  // namespace zinniastep::standin

#endif  // ZINNIASTEP_STANDIN_REQUEST_H_
