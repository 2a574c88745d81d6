#include <atomic>
#include <chrono>
#include <cstddef>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "tests/traffic/engine_host.h"
#include "tests/traffic/scripted_server.h"

namespace zinniastep::testing {
namespace {

constexpr char kRefused[] =
    "HTTP/1.1 503 Service Unavailable\r\nZinniastep-Not-Executed: 1\r\n";
constexpr char kNoBody[] = "Content-Length: 0\r\n\r\n";

auto RequestWithId(const std::string& path, const std::string& id)
    -> std::string {
  std::string request = EngineHost::Request(path);
  request.replace(request.find("a1\r\n"), 2, id);
  return request;
}

auto WholeAnswer(const std::string& id, const std::string& body)
    -> std::string {
  return "HTTP/1.1 200 OK\r\nZinniastep-Attempt-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// The one of these that says which request it is for.
constexpr std::size_t kStaleWithId = 2;

// Answers to an earlier request that a faulty server writes once more.
auto StaleAnswers() -> std::vector<std::string> {
  const std::string refused = kRefused;
  const std::string no_body = kNoBody;
  return {refused + no_body,
          refused + "Zinniastep-Attempt-Id: \r\n" + no_body,
          refused + "Zinniastep-Attempt-Id: a1\r\n" + no_body,
          "HTTP/1.1 100 Continue\r\n\r\n" + refused + no_body,
          "HTTP/1.1 421 Misdirected Request\r\n" + no_body,
          "HTTP/1.1 408 Request Timeout\r\nZinniastep-Not-Executed: 1\r\n" +
              no_body,
          "HTTP/1.1 429 Too Many Requests\r\nZinniastep-Not-Executed: 1\r\n" +
              no_body,
          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"};
}

// Answers every request with its id, the second one after a stale answer.
struct FaultyServer {
  explicit FaultyServer(std::string bytes)
      : stale(std::move(bytes)), server([this](const std::string& request) {
          const std::string id = HeaderOf(request, "Zinniastep-Attempt-Id");
          return ScriptedAnswer{(++sends == 2 ? stale : "") +
                                WholeAnswer(id, id)};
        }) {}

  std::string stale;
  std::atomic<int> sends = 0;
  ScriptedServer server;
};

TEST(StaleAnswer, ARefusalWithoutThisRequestsIdIsNoWordOnIt) {
  for (const char* path : {"/quick/", "/stall/"}) {
    for (const std::string& stale : StaleAnswers()) {
      const FaultyServer faulty(stale);
      EngineHost host({&faulty.server});
      EXPECT_EQ(host.Call(RequestWithId(path, "a1")).body, "a1");
      const CallerAnswer answer = host.Call(RequestWithId(path, "b2"));
      EXPECT_TRUE(answer.status == 502 || answer.body == "b2")
          << path << " " << answer.status << " " << answer.body << "\n"
          << stale;
    }
  }
}

TEST(StaleAnswer, ARefusalThatMeetsTheNextRequestReachesNoCaller) {
  for (const std::string& stale : StaleAnswers()) {
    const ScriptedServer server([&stale](const std::string& request) {
      const std::string id = HeaderOf(request, "Zinniastep-Attempt-Id");
      ScriptedAnswer answer{WholeAnswer(id, id)};
      if (id == "a1") {
        answer.rest = stale;
        answer.rest_after = std::chrono::milliseconds(20);
      }
      return answer;
    });
    EngineHost host({&server});
    EXPECT_EQ(host.Call(RequestWithId("/quick/", "a1")).body, "a1");
    // Goes out before the stale answer comes.
    const CallerAnswer answer = host.Call(RequestWithId("/quick/", "b2"));
    EXPECT_TRUE(answer.status == 502 || answer.body == "b2")
        << answer.status << "\n"
        << stale;
    EXPECT_EQ(host.Call(RequestWithId("/quick/", "c3")).body, "c3") << stale;
  }
}

TEST(StaleAnswer, ARepeatedIdIsNotRefusedByTheAnswerToItsFirstSend) {
  const std::string stale =
      kRefused + std::string("Zinniastep-Attempt-Id: a1\r\n") + kNoBody;
  const ScriptedServer server([&stale](const std::string& request) {
    const std::string id = HeaderOf(request, "Zinniastep-Attempt-Id");
    ScriptedAnswer answer{WholeAnswer(id, id)};
    answer.rest = stale;
    answer.rest_after = std::chrono::milliseconds(20);
    return answer;
  });
  EngineHost host({&server});
  for (int call = 0; call < 4; ++call) {
    EXPECT_EQ(host.Call(RequestWithId("/quick/", "a1")).body, "a1");
  }
}

TEST(StaleAnswer, WhatRunsOnceGetsAConnectionWithoutEarlierAnswers) {
  for (const std::string& stale : StaleAnswers()) {
    const ScriptedServer server([&stale](const std::string& request) {
      const std::string id = HeaderOf(request, "Zinniastep-Attempt-Id");
      ScriptedAnswer answer{WholeAnswer(id, id)};
      answer.rest = stale;
      answer.rest_after = std::chrono::milliseconds(20);
      return answer;
    });
    EngineHost host({&server});
    for (const char* id : {"a1", "b2", "a1"}) {
      EXPECT_EQ(host.Call(RequestWithId("/once/", id)).body, id) << stale;
    }
    EXPECT_EQ(server.requests().size(), 3U);
  }
}

// Bytes around the answers of a server, drawn from a fixed seed.
TEST(StaleAnswer, NoMixOfStaleAnswersReachesACallerOrRefusesIt) {
  constexpr int kCalls = 1500;
  const std::vector<std::string> stale = StaleAnswers();
  const auto script = [&stale](std::mt19937& random) {
    return [&stale, &random](const std::string& request) {
      const std::string id = HeaderOf(request, "Zinniastep-Attempt-Id");
      const std::string& extra = stale[random() % stale.size()];
      const std::string whole = WholeAnswer(id, id);
      switch (random() % 6) {
        case 0:
          // It may be the first on its connection, where an answer without an
          // id could be the server's.
          return ScriptedAnswer{stale[kStaleWithId] + whole};
        case 1:
          return ScriptedAnswer{whole + extra};
        case 2:
          return ScriptedAnswer{whole + extra.substr(0, random() % 40)};
        case 3: {
          // The rest meets the next request, or an idle connection.
          const std::size_t cut = random() % (extra.size() + 1);
          ScriptedAnswer answer{whole};
          answer.rest = extra.substr(cut) + extra;
          answer.rest_after = std::chrono::milliseconds(random() % 3);
          return answer;
        }
        default:
          return ScriptedAnswer{whole};
      }
    };
  };
  std::mt19937 one(11);
  std::mt19937 two(12);
  const ScriptedServer first(script(one));
  const ScriptedServer second(script(two));
  EngineHost host({&first, &second}, {1.0, 5000.0});
  int answered = 0;
  for (int call = 0; call < kCalls; ++call) {
    const std::string id = "r" + std::to_string(call);
    const CallerAnswer answer = host.Call(RequestWithId("/quick/", id));
    answered += answer.status == 200 ? 1 : 0;
    if (answer.status == 200) {
      EXPECT_EQ(answer.body, id);
    } else {
      EXPECT_EQ(answer.status, 502) << id;
    }
  }
  EXPECT_GT(answered, kCalls / 2);
}

}  // namespace
}  // namespace zinniastep::testing
