#include <atomic>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/traffic/answer_texts.h"
#include "tests/traffic/engine_host.h"
#include "tests/traffic/scripted_server.h"

namespace zinniastep::testing {
namespace {

// A call whose stream brings one answer of a server and breaks off, and what
// every other server answers then.
struct BrokenCall {
  std::string path;
  std::string begun;
  ScriptedAnswer next;
};

struct BrokenResult {
  CallerAnswer answer;
  int sends = 0;
};

auto CallBroken(const BrokenCall& call) -> BrokenResult {
  std::atomic<int> sends = 0;
  const auto script = [&](const std::string&) {
    return ++sends == 1 ? ScriptedAnswer{call.begun, true} : call.next;
  };
  const ScriptedServer first(script);
  const ScriptedServer second(script);
  EngineHost host({&first, &second});
  const CallerAnswer answer = host.Call(EngineHost::Request(call.path));
  return {answer, sends};
}

TEST(BrokenStream, NoErrorOfTheNextServerEndsOrEntersIt) {
  const std::string events = "Content-Type: text/event-stream\r\n";
  const std::string refused = "Zinniastep-Not-Executed: 1\r\n";
  const std::string error = "id: 7\ndata: error\n\n";
  const std::string large(std::size_t{2} << 20U, 'p');
  const std::string chunked =
      "Zinniastep-Attempt-Id: a1\r\nTransfer-Encoding: chunked\r\n";
  const std::vector<ScriptedAnswer> nexts = {
      {Answer("500 Internal Server Error", "", "bad")},
      {Answer("500 Internal Server Error", events, error)},
      {Answer("500 Internal Server Error", "", large)},
      {Answer("503 Service Unavailable", refused, "full")},
      {Answer("503 Service Unavailable", refused + events, error)},
      {Answer("503 Service Unavailable", "", "busy")},
      {Answer("429 Too Many Requests", refused, "slow down")},
      {Answer("421 Misdirected Request", "", "not me")},
      {Answer("400 Bad Request", events, error)},
      {Answer("302 Found", "Location: /x\r\n" + events, error)},
      {Answer("200 OK", "Content-Type: text/plain\r\n", error)},
      {Answer("200 OK", "", large)},
      {"HTTP/1.1 204 No Content\r\nZinniastep-Attempt-Id: a1\r\n" + events +
       "\r\n"},
      {Answer("206 Partial Content", events, error)},
      {"HTTP/1.1 500 Oh\r\n" + chunked + "\r\n" + Chunk("bad") + kLastChunk},
      {"HTTP/1.1 500 Oh\r\n" + chunked + "\r\n5\r\nba", true},
      {"HTTP/1.1 500 Oh\r\nZinniastep-Attempt-Id: a1\r\n\r\nbad", true},
      {"HTTP/1.1 500 Oh\r\nZinniastep-", true},
      {"no answer at all\r\n\r\n", true},
  };
  for (const ScriptedAnswer& next : nexts) {
    const BrokenResult result =
        CallBroken({"/stall/", StreamHead() + Chunk(Event(1)), next});
    EXPECT_GE(result.sends, 2);
    EXPECT_EQ(result.answer.status, 200);
    EXPECT_FALSE(result.answer.whole) << next.bytes.substr(0, 200);
    EXPECT_EQ(result.answer.body, Event(1)) << next.bytes.substr(0, 200);
  }
}

TEST(BrokenStream, EventsThatComeAgainAreLeftOut) {
  const BrokenResult result =
      CallBroken({"/stall/",
                  StreamHead() + Chunk(Event(1)) + Chunk(Event(2)),
                  {StreamHead("X-Next: 1\r\n") + Chunk(Event(1)) +
                   Chunk(Event(2)) + Chunk(Event(3)) + kLastChunk}});
  EXPECT_TRUE(result.answer.whole);
  EXPECT_EQ(result.answer.body, Event(1) + Event(2) + Event(3));
  EXPECT_EQ(HeaderOf(result.answer.head, "X-Next"), "");
}

TEST(BrokenStream, ALengthOfTheNextServerIsNotTheStreams) {
  const BrokenResult result = CallBroken(
      {"/stall/",
       StreamHead() + Chunk(Event(1)),
       {Answer("200 OK", "Content-Type: text/event-stream\r\n", Event(2))}});
  EXPECT_TRUE(result.answer.whole);
  EXPECT_EQ(result.answer.body, Event(1) + Event(2));
  EXPECT_EQ(HeaderOf(result.answer.head, "Content-Length"), "");
}

TEST(BrokenStream, OneWhoseEventsHaveNoIdsIsNotBegunAnew) {
  const std::string event = "data: t\n\n";
  const BrokenResult result =
      CallBroken({"/stall/",
                  StreamHead() + Chunk(event),
                  {StreamHead() + Chunk(event) + kLastChunk}});
  EXPECT_FALSE(result.answer.whole);
  EXPECT_EQ(result.answer.body, event);
  EXPECT_EQ(result.sends, 1);
}

TEST(BrokenStream, NoEventWithoutAnIdIsJoinedToNumberedOnes) {
  const BrokenResult result =
      CallBroken({"/stall/",
                  StreamHead() + Chunk(Event(1)),
                  {StreamHead() + Chunk("data: error\n\n") + kLastChunk}});
  EXPECT_FALSE(result.answer.whole);
  EXPECT_EQ(result.answer.body, Event(1));
}

TEST(BrokenStream, EventsAreNotJoinedToALongPlainAnswer) {
  const std::string part(std::size_t{2} << 20U, 'p');
  std::string with_length =
      "HTTP/1.1 200 OK\r\nZinniastep-Attempt-Id: a1\r\n"
      "Content-Length: 4000000\r\n\r\n";
  with_length += part;
  std::string in_chunks =
      "HTTP/1.1 200 OK\r\nZinniastep-Attempt-Id: a1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  in_chunks += Chunk(part);
  for (const std::string& begun : {with_length, in_chunks}) {
    const BrokenResult result = CallBroken(
        {"/gen/", begun, {StreamHead() + Chunk(Event(1)) + kLastChunk}});
    EXPECT_FALSE(result.answer.whole);
    EXPECT_EQ(result.answer.body.find("data:"), std::string::npos);
    EXPECT_EQ(result.sends, 1);
  }
}

}  // namespace
}  // namespace zinniastep::testing
