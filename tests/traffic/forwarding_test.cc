#include <atomic>
#include <chrono>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/process/child_process.h"
#include "tests/traffic/answer_texts.h"
#include "tests/traffic/engine_host.h"
#include "tests/traffic/scripted_server.h"
#include "tests/traffic/slow_reader.h"

namespace zinniastep::testing {
namespace {

TEST(Forwarding, ARequestGoesOnUnchangedButForWhatTheSystemSets) {
  const ScriptedServer server([](const std::string&) {
    return ScriptedAnswer{Answer("200 OK", "", "hi")};
  });
  EngineHost host({&server});
  const CallerAnswer answer =
      host.Call(EngineHost::Request("/once/a?z=1&a=%2F&m",
                                    "X-Own: 1\r\nZinniastep-Tenant: forged\r\n"
                                    "Connection: X-Hop\r\nX-Hop: 1\r\n"));
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body, "hi");
  ASSERT_EQ(server.requests().size(), 1U);
  const std::string sent = server.requests()[0];
  EXPECT_TRUE(sent.starts_with("POST /once/a?z=1&a=%2F&m HTTP/1.1\r\n"))
      << sent;
  EXPECT_EQ(HeaderOf(sent, "X-Own"), "1");
  EXPECT_EQ(HeaderOf(sent, "Zinniastep-Tenant"), "farm");
  EXPECT_EQ(HeaderOf(sent, "Zinniastep-Expect-Instance"), "s0");
  EXPECT_EQ(HeaderOf(sent, "Authorization"), "");
  EXPECT_EQ(HeaderOf(sent, "X-Hop"), "");
  EXPECT_LE(std::stoi(HeaderOf(sent, "Zinniastep-Time-Remaining-Ms")), 15000);
}

TEST(Forwarding, ACallerWithMoreTimeThanFitsHasItsRoutesTime) {
  const ScriptedServer server([](const std::string&) {
    return ScriptedAnswer{Answer("200 OK", "", "hi")};
  });
  EngineHost host({&server});
  for (const std::string time :
       {"9223372036854776", "9223372036854775807", "9223372036854775808",
        "18446744073709551615", "99999999999999999999999"}) {
    std::string request = EngineHost::Request("/once/");
    request.replace(request.find("15000"), 5, time);
    EXPECT_EQ(host.CallUntil(request, std::chrono::seconds(3)).status, 200)
        << time;
    const std::vector<std::string> sent = server.requests();
    EXPECT_GT(
        std::stoll(sent.empty()
                       ? "0"
                       : HeaderOf(sent.back(), "Zinniastep-Time-Remaining-Ms")),
        10'000)
        << time;
  }
  EXPECT_EQ(server.requests().size(), 5U);
}

TEST(Forwarding, AServerWithMoreLoadThanFitsIsNotTakenAsFree) {
  const auto script = [](const std::string&) {
    return ScriptedAnswer{
        Answer("200 OK", "Zinniastep-Server-Load: 4294967296,0,4\r\n", "")};
  };
  const ScriptedServer first(script);
  const ScriptedServer second(script);
  EngineHost host({&first, &second});
  EXPECT_EQ(host.Call(EngineHost::Request("/once/")).status, 200);
  EXPECT_EQ(host.Call(EngineHost::Request("/once/")).status, 200);
  EXPECT_EQ(first.requests().size(), 1U);
  EXPECT_EQ(second.requests().size(), 1U);
}

TEST(Forwarding, UnknownKeysAndRoutesReachNoServer) {
  const ScriptedServer server([](const std::string&) {
    return ScriptedAnswer{Answer("200 OK", "", "")};
  });
  EngineHost host({&server});
  std::string request = EngineHost::Request("/once/");
  request.replace(request.find("Token k"), 7, "Token j");
  EXPECT_EQ(host.Call(request).status, 401);
  EXPECT_EQ(host.Call(EngineHost::Request("/none/")).status, 404);
  EXPECT_TRUE(server.requests().empty());
}

TEST(Forwarding, AmbiguousFramingIsRefused) {
  const ScriptedServer server([](const std::string&) {
    return ScriptedAnswer{Answer("200 OK", "", "")};
  });
  EngineHost host({&server});
  EXPECT_EQ(
      host.Call(EngineHost::Request("/once/", "Transfer-Encoding: chunked\r\n"))
          .status,
      400);
  EXPECT_TRUE(server.requests().empty());
}

TEST(Forwarding, WhatRunsOnceIsNotSentAgainAfterABrokenAnswer) {
  const auto script = [](const std::string&) {
    return ScriptedAnswer{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",
                          true};
  };
  const ScriptedServer first(script);
  const ScriptedServer second(script);
  EngineHost host({&first, &second});
  EXPECT_EQ(host.Call(EngineHost::Request("/once/")).status, 502);
  EXPECT_EQ(first.requests().size() + second.requests().size(), 1U);
}

TEST(Forwarding, AServersUnavailableWithoutItsWordIsNoNotRun) {
  const ScriptedServer server([](const std::string&) {
    return ScriptedAnswer{Answer("503 Service Unavailable", "", "")};
  });
  EngineHost host({&server});
  EXPECT_EQ(host.Call(EngineHost::Request("/once/")).status, 502);
}

TEST(Forwarding, ARequestThatServersDeclinedIsRefusedAsNotRun) {
  const ScriptedServer server([](const std::string&) {
    return ScriptedAnswer{Answer("503 Service Unavailable",
                                 "Zinniastep-Not-Executed: 1\r\n", "")};
  });
  EngineHost host({&server});
  const CallerAnswer answer = host.Call(EngineHost::Request("/once/"));
  EXPECT_EQ(answer.status, 503);
  EXPECT_NE(HeaderOf(answer.head, "Retry-After"), "");
}

TEST(Forwarding, AnotherServersAddressIsTriedElsewhere) {
  const ScriptedServer moved([](const std::string&) {
    return ScriptedAnswer{Answer("421 Misdirected Request", "", "")};
  });
  const ScriptedServer good([](const std::string&) {
    return ScriptedAnswer{Answer("200 OK", "", "y")};
  });
  EngineHost host({&moved, &good});
  for (int call = 0; call < 4; ++call) {
    EXPECT_EQ(host.Call(EngineHost::Request("/once/")).body, "y");
  }
}

TEST(Forwarding, AnIdempotentRequestIsTriedElsewhereAfterAFailure) {
  const ScriptedServer bad([](const std::string&) {
    return ScriptedAnswer{Answer("500 Internal Server Error", "", "bad")};
  });
  const ScriptedServer good([](const std::string&) {
    return ScriptedAnswer{Answer("200 OK", "", "y")};
  });
  EngineHost host({&bad, &good});
  for (int call = 0; call < 4; ++call) {
    EXPECT_EQ(host.Call(EngineHost::Request("/idem/")).body, "y");
  }
}

TEST(Forwarding, AnAnswerOfAnotherRequestIsSkipped) {
  const ScriptedServer server([](const std::string&) {
    return ScriptedAnswer{
        "HTTP/1.1 200 OK\r\nZinniastep-Attempt-Id: other\r\n"
        "Content-Length: 5\r\n\r\nwrong" +
        Answer("200 OK", "", "right")};
  });
  EngineHost host({&server});
  EXPECT_EQ(host.Call(EngineHost::Request("/once/")).body, "right");
}

TEST(Forwarding, BytesAfterAnAnswerReachNoCaller) {
  const ScriptedServer server([](const std::string&) {
    return ScriptedAnswer{Answer("200 OK", "", "one") +
                          Answer("200 OK", "", "extra")};
  });
  EngineHost host({&server});
  for (int call = 0; call < 3; ++call) {
    EXPECT_EQ(host.Call(EngineHost::Request("/idem/")).body, "one");
  }
}

TEST(Forwarding, AStreamThatBreaksGoesOnElsewhereAfterTheLastWholeEvent) {
  std::atomic<int> sends = 0;
  const auto script = [&sends](const std::string& request) {
    if (++sends == 1) {
      return ScriptedAnswer{StreamHead("X-First: 1\r\n") + Chunk(Event(1)) +
                                Chunk(Event(2)) + Chunk("id: 3\nda"),
                            true};
    }
    EXPECT_EQ(HeaderOf(request, "Last-Event-Id"), "2");
    return ScriptedAnswer{StreamHead() + Chunk(Event(3)) + Chunk(Event(4)) +
                          kLastChunk};
  };
  const ScriptedServer first(script);
  const ScriptedServer second(script);
  EngineHost host({&first, &second});
  const CallerAnswer answer = host.Call(EngineHost::Request("/gen/"));
  EXPECT_TRUE(answer.whole);
  EXPECT_EQ(answer.body, Event(1) + Event(2) + Event(3) + Event(4));
  EXPECT_EQ(HeaderOf(answer.head, "X-First"), "1");
}

TEST(Forwarding, AStreamThatCannotGoOnDoesNotLookComplete) {
  const ScriptedServer server([](const std::string&) {
    return ScriptedAnswer{StreamHead() + Chunk(Event(1)), true};
  });
  EngineHost host({&server});
  const CallerAnswer answer = host.Call(EngineHost::Request("/gen/"));
  EXPECT_FALSE(answer.whole);
}

// What a server says instead of the rest of a stream is no part of it.
TEST(Forwarding, ARefusalToGoOnLeavesNoTraceInTheStream) {
  std::atomic<int> sends = 0;
  const auto script = [&sends](const std::string&) {
    switch (++sends) {
      case 1:
        return ScriptedAnswer{StreamHead() + Chunk(Event(1)) + Chunk(Event(2)),
                              true};
      case 2:
        return ScriptedAnswer{Answer("503 Service Unavailable",
                                     "Zinniastep-Not-Executed: 1\r\n",
                                     "all places are taken")};
      default:
        return ScriptedAnswer{StreamHead() + Chunk(Event(3)) + kLastChunk};
    }
  };
  const ScriptedServer first(script);
  const ScriptedServer second(script);
  const ScriptedServer third(script);
  EngineHost host({&first, &second, &third});
  const CallerAnswer answer = host.Call(EngineHost::Request("/gen/"));
  EXPECT_EQ(sends, 3);
  EXPECT_TRUE(answer.whole);
  EXPECT_EQ(answer.body, Event(1) + Event(2) + Event(3));
}

TEST(Forwarding, APlainAnswerDoesNotCompleteAStreamThatBroke) {
  std::atomic<int> sends = 0;
  const auto script = [&sends](const std::string&) {
    return ++sends == 1
               ? ScriptedAnswer{StreamHead() + Chunk(Event(1)), true}
               : ScriptedAnswer{Answer("200 OK", "", "a plain answer")};
  };
  const ScriptedServer first(script);
  const ScriptedServer second(script);
  EngineHost host({&first, &second});
  const CallerAnswer answer = host.Call(EngineHost::Request("/gen/"));
  EXPECT_FALSE(answer.whole);
  EXPECT_EQ(answer.body, Event(1));
}

TEST(Forwarding, AHalfAnswerIsNotCompleteHoweverItWasFramed) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nZinniastep-Attempt-Id: a1\r\n"
      "Zinniastep-Server-Signature: s\r\n";
  const std::string long_part(std::size_t{2} << 20U, 'p');
  const std::vector<std::string> halves = {
      head + "Content-Length: 9\r\n\r\nab",
      head + "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n",
      head + "Transfer-Encoding: chunked\r\n\r\n4\r\nab",
      head + "Content-Encoding: gzip\r\nContent-Length: 9\r\n\r\nab",
      head + "Content-Length: 9\r\n\r\n",
      head + "Content-Length: 4000000\r\n\r\n" + long_part,
      head + "Transfer-Encoding: chunked\r\n\r\n" + Chunk(long_part),
      "HTTP/1.1 103 Early Hints\r\n\r\n" + head,
      "HTTP/1.1 200 OK\r\n",
      head,
      head + "Content-Ty",
      head + "Content-Length: 0\r\n",
      head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nab",
      head + "Content-Length: 3\r\nContent-Length: 2\r\n\r\nab",
      head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0",
      head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
      head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nSum: 1"};
  for (const std::string& half : halves) {
    const auto script = [&half](const std::string&) {
      return ScriptedAnswer{half, true};
    };
    const ScriptedServer first(script);
    const ScriptedServer second(script);
    EngineHost host({&first, &second});
    for (const char* path : {"/once/", "/idem/", "/gen/"}) {
      const CallerAnswer answer = host.Call(EngineHost::Request(path));
      EXPECT_FALSE(answer.whole && answer.status == 200)
          << path << " " << half.substr(0, 200);
    }
  }
}

// Two answers are never joined, whatever may be repeated.
TEST(Forwarding, ALongAnswerThatBreaksIsNotBegunAnew) {
  const std::string part(std::size_t{2} << 20U, 'p');
  const auto script = [&part](const std::string&) {
    return ScriptedAnswer{
        "HTTP/1.1 200 OK\r\nZinniastep-Attempt-Id: a1\r\n"
        "Content-Length: 4000000\r\n\r\n" +
            part,
        true};
  };
  const ScriptedServer first(script);
  const ScriptedServer second(script);
  EngineHost host({&first, &second});
  EXPECT_FALSE(host.Call(EngineHost::Request("/idem/")).whole);
  EXPECT_EQ(first.requests().size() + second.requests().size(), 1U);
}

// A server in trouble sends bytes until its connection is closed.
struct EndlessAnswer {
  const char* name;
  std::string begin;
  std::string drip;
  // Bytes that the server may get rid of, those in the system's buffers too.
  std::size_t most = std::size_t{16} << 20U;
};

TEST(Forwarding, BytesWithoutEndEndTheConnectionAndGiveATrueStatus) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nZinniastep-Attempt-Id: a1\r\n"
      "Zinniastep-Server-Signature: s\r\n";
  const std::string stuff(16384, 'z');
  std::string interim;
  for (int count = 0; count < 600; ++count) {
    interim += "HTTP/1.1 102 Processing\r\n\r\n";
  }
  const std::vector<EndlessAnswer> answers = {
      {"no answer", "", stuff},
      {"head", "HTTP/1.1 200 OK\r\n", "X-More: " + stuff + "\r\n"},
      {"header line", "HTTP/1.1 200 OK\r\nX-More: ", stuff},
      {"chunk header", head + "Transfer-Encoding: chunked\r\n\r\n1;", stuff},
      {"trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", stuff},
      {"event",
       head + "Content-Type: text/event-stream\r\n"
              "Transfer-Encoding: chunked\r\n\r\n",
       Chunk(stuff)},
      {"failure's body",
       "HTTP/1.1 500 Oh\r\nZinniastep-Attempt-Id: a1\r\n"
       "Transfer-Encoding: chunked\r\n\r\n",
       Chunk(stuff)},
      {"interim answers", "", interim},
      {"answers to other requests", "",
       "HTTP/1.1 200 OK\r\nZinniastep-Attempt-Id: other\r\n"
       "Content-Length: 16384\r\n\r\n" +
           stuff},
      {"an answer to another request",
       "HTTP/1.1 200 OK\r\nZinniastep-Attempt-Id: other\r\n"
       "Transfer-Encoding: chunked\r\n\r\n",
       Chunk(stuff)},
      {"body until close", head + "\r\n", stuff, std::size_t{96} << 20U}};
  for (const EndlessAnswer& endless : answers) {
    const ScriptedServer server([&endless](const std::string&) {
      ScriptedAnswer answer{endless.begin};
      answer.drip = endless.drip;
      return answer;
    });
    EngineHost host({&server});
    const auto began = std::chrono::steady_clock::now();
    const CallerAnswer answer = host.Call(EngineHost::Request("/gen/"));
    // The caller would wait for 15 s.
    EXPECT_LT(std::chrono::steady_clock::now() - began,
              std::chrono::seconds(10))
        << endless.name;
    EXPECT_FALSE(answer.whole && answer.status == 200) << endless.name;
    EXPECT_NE(answer.status, 503) << endless.name << ": it may have run";
    EXPECT_TRUE(Eventually([&server] { return server.abandoned() == 1; }))
        << endless.name;
    EXPECT_LE(server.dripped(), endless.most) << endless.name;
  }
}

TEST(Forwarding, ACallersChunkHeaderWithoutAnEndIsRefused) {
  const ScriptedServer server([](const std::string&) {
    return ScriptedAnswer{Answer("200 OK", "", "")};
  });
  EngineHost host({&server});
  const CallerAnswer answer = host.Call(
      "POST /once/ HTTP/1.1\r\nHost: x.example\r\nAuthorization: Token k\r\n"
      "Transfer-Encoding: chunked\r\n\r\n1;" +
      std::string(200'000, 'z'));
  EXPECT_EQ(answer.status, 400);
  EXPECT_TRUE(server.requests().empty());
}

TEST(Forwarding, AStreamThatBringsBytesButNoEventGoesOnElsewhere) {
  std::atomic<int> sends = 0;
  const auto script = [&sends](const std::string&) {
    if (++sends == 1) {
      ScriptedAnswer answer{StreamHead() + Chunk(Event(1))};
      answer.drip = Chunk(":");
      answer.drip_pause = std::chrono::milliseconds(100);
      return answer;
    }
    return ScriptedAnswer{StreamHead() + Chunk(Event(2)) + kLastChunk};
  };
  const ScriptedServer first(script);
  const ScriptedServer second(script);
  EngineHost host({&first, &second});
  const CallerAnswer answer = host.Call(EngineHost::Request("/stall/"));
  EXPECT_TRUE(answer.whole);
  EXPECT_EQ(answer.body, Event(1) + Event(2));
}

// Seconds between events are slow, but sound.
TEST(Forwarding, ASlowStreamIsNotCut) {
  const ScriptedServer server([](const std::string&) {
    ScriptedAnswer answer{StreamHead()};
    answer.drip = Chunk(":") + Chunk("\n\nid: 1\ndata: t\n\n");
    answer.drip_pause = std::chrono::milliseconds(1200);
    return answer;
  });
  EngineHost host({&server});
  const CallerAnswer answer =
      host.CallUntil(EngineHost::Request("/stall/"), std::chrono::seconds(8));
  EXPECT_EQ(server.requests().size(), 1U);
  EXPECT_EQ(answer.status, 200);
}

TEST(Forwarding, ADoubtfulAnswerIsAskedForAgainOfTheLargestModel) {
  const ScriptedServer server([](const std::string& request) {
    const bool is_small = HeaderOf(request, "Zinniastep-Model") == "small";
    return ScriptedAnswer{
        StreamHead(is_small ? "Zinniastep-Confidence: 10\r\n"
                            : "Zinniastep-Confidence: 90\r\n") +
        Chunk(is_small ? "id: 1\ndata: small\n\n" : "id: 1\ndata: large\n\n") +
        kLastChunk};
  });
  EngineHost host({&server});
  const CallerAnswer answer =
      host.Call(EngineHost::Request("/gen/", "Zinniastep-Model: *\r\n"));
  EXPECT_EQ(answer.body, "id: 1\ndata: large\n\n");
  EXPECT_EQ(server.requests().size(), 2U);
}

// A roll-out's judge must not wait for the end of a stream of many seconds.
TEST(Forwarding, AStreamSpeaksForItsVersionFromItsFirstBytes) {
  const ScriptedServer server([](const std::string&) {
    return ScriptedAnswer{StreamHead() + Chunk(Event(1)), false, true};
  });
  EngineHost host({&server});
  host.CallAndLeave(EngineHost::Request("/gen/"),
                    [&host] { return host.CountedAnswers() == 1; });
  EXPECT_EQ(server.requests().size(), 1U);
}

// The network may hold a request back for seconds; nobody waits for it by then.
TEST(Forwarding, ARequestWhoseCallerLeftIsNotSentOnLater) {
  SlowReader server;
  EngineHost host(ServerAddresses{{server.address()}});
  const std::string body(std::size_t{3} << 20U, 'b');
  host.CallAndLeave(EngineHost::Request("/once/", "", body),
                    [&server] { return server.connections() > 0; });
  ASSERT_TRUE(Eventually([&server] { return server.IsReset(); }));
}

TEST(Forwarding, ACallerThatLeavesEndsTheWorkAtTheServer) {
  const ScriptedServer server([](const std::string&) {
    return ScriptedAnswer{"", false, true};
  });
  EngineHost host({&server});
  host.CallAndLeave(EngineHost::Request("/once/"),
                    [&server] { return !server.requests().empty(); });
  EXPECT_TRUE(Eventually([&server] { return server.abandoned() == 1; }));
}

TEST(Forwarding, ARequestWithoutAnIdGetsOneInLogAndAnswer) {
  const ScriptedServer server([](const std::string& request) {
    EXPECT_EQ(HeaderOf(request, "Zinniastep-Attempt-Id"), "");
    return ScriptedAnswer{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
  });
  EngineHost host({&server});
  for (const char* path : {"/once/", "/idem/", "/none/"}) {
    const CallerAnswer answer =
        host.Call("POST " + std::string(path) +
                  " HTTP/1.1\r\nHost: x.example\r\nAuthorization: Token k"
                  "\r\nContent-Length: 1\r\n\r\nx");
    const std::string id = HeaderOf(answer.head, "Zinniastep-Attempt-Id");
    EXPECT_EQ(id.size(), 16U) << path;
    EXPECT_EQ(host.Logged("request_over", "request").back(), id);
  }
}

}  // namespace
}  // namespace zinniastep::testing
