#ifndef TESTS_TRAFFIC_ANSWER_TEXTS_H_
#define TESTS_TRAFFIC_ANSWER_TEXTS_H_

#include <sstream>
#include <string>

namespace zinniastep::testing {

// Returns an answer to the request with the id "a1", as it goes on the wire.
inline auto Answer(const std::string& status,
                   const std::string& headers,
                   const std::string& body) -> std::string {
  return "HTTP/1.1 " + status +
         "\r\nZinniastep-Attempt-Id: a1\r\nZinniastep-Server-Signature: s\r\n" +
         headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Returns the head of a chunked event stream for the request with the id "a1".
inline auto StreamHead(const std::string& headers = "") -> std::string {
  return "HTTP/1.1 200 OK\r\nZinniastep-Attempt-Id: a1\r\n"
         "Zinniastep-Server-Signature: s\r\nContent-Type: "
         "text/event-stream\r\n" +
         headers + "Transfer-Encoding: chunked\r\n\r\n";
}

// Returns a text as one chunk.
inline auto Chunk(const std::string& text) -> std::string {
  std::ostringstream chunk;
  chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
  return chunk.str();
}

// Returns an event whose data follow from its id.
inline auto Event(int id) -> std::string {
  return "id: " + std::to_string(id) + "\ndata: t" + std::to_string(id) +
         "\n\n";
}

inline constexpr char kLastChunk[] = "0\r\n\r\n";

}  // namespace zinniastep::testing

#endif  // TESTS_TRAFFIC_ANSWER_TEXTS_H_
