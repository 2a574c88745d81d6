#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "libzinniastep/traffic/server_connection.h"
#include "tests/process/child_process.h"
#include "tests/traffic/answer_texts.h"
#include "tests/traffic/engine_host.h"
#include "tests/traffic/scripted_server.h"

namespace zinniastep::testing {
namespace {

namespace asio = boost::asio;

constexpr int kCalls = 30;
constexpr char kLeaving[] = "Server-Leaving: 1\r\n";

auto Sound(const std::string&) -> ScriptedAnswer {
  return {Answer("200 OK", "", "hi")};
}

// A server that says once that it leaves and answers as before from then on.
class Leaver {
 public:
  explicit Leaver(const ScriptedAnswer& said)
      : server_([this, said](const std::string& request) {
          return ++calls_ == 1 ? said : Sound(request);
        }) {}

  [[nodiscard]] auto server() const -> const ScriptedServer& { return server_; }
  [[nodiscard]] auto calls() const -> int { return calls_; }

 private:
  std::atomic<int> calls_ = 0;
  ScriptedServer server_;
};

// Calls until the leaver has been asked once.
auto CallUntilAsked(EngineHost& host,
                    const Leaver& leaver,
                    const std::string& path) -> void {
  for (int call = 0; call < 100 && leaver.calls() == 0; ++call) {
    (void)host.Call(EngineHost::Request(path));
  }
}

struct LeavingAnswer {
  const char* name;
  std::string bytes;
  std::string path = "/once/";
  bool close = false;
};

TEST(LeavingServer, GetsNothingAfterAnyKindOfAnswerThatSaysSo) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nZinniastep-Attempt-Id: a1\r\n"
      "Zinniastep-Server-Signature: s\r\n";
  const std::string refused = "Zinniastep-Not-Executed: 1\r\n";
  const std::vector<LeavingAnswer> answers = {
      {"with a length", Answer("200 OK", kLeaving, "hi")},
      {"chunked", head + kLeaving + "Transfer-Encoding: chunked\r\n\r\n" +
                      Chunk("hi") + kLastChunk},
      {"stream", StreamHead(kLeaving) + Chunk(Event(1)) + kLastChunk, "/gen/"},
      {"interim", "HTTP/1.1 103 Early Hints\r\n" + std::string(kLeaving) +
                      "\r\n" + Answer("200 OK", "", "hi")},
      {"answer to another request",
       "HTTP/1.1 200 OK\r\nZinniastep-Attempt-Id: other\r\n" +
           std::string(kLeaving) + "Content-Length: 2\r\n\r\nno" +
           Answer("200 OK", "", "hi")},
      {"answer that nobody asked for",
       Answer("200 OK", "", "hi") + "HTTP/1.1 408 Late\r\n" + kLeaving +
           "Content-Length: 0\r\n\r\n",
       "/idem/"},
      {"HTTP/1.0",
       "HTTP/1.0 200 OK\r\nZinniastep-Attempt-Id: a1\r\n" +
           std::string(kLeaving) + "\r\nhi",
       "/once/", true},
      {"lower case", Answer("200 OK", "server-leaving: 1\r\n", "hi")},
      {"twice",
       Answer("200 OK", "Server-Leaving: 0\r\nServer-Leaving:  1 \r\n", "hi")},
      {"refusal", Answer("503 Full", refused + kLeaving, "")},
      {"failure", Answer("500 Oh", kLeaving, "bad")},
      {"broken", head + kLeaving + "Content-Length: 9\r\n\r\nhi", "/idem/",
       true}};
  for (const LeavingAnswer& said : answers) {
    const ScriptedServer sound(Sound);
    const Leaver leaver({said.bytes, said.close});
    EngineHost host({&leaver.server(), &sound});
    CallUntilAsked(host, leaver, said.path);
    ASSERT_TRUE(Eventually([&host] {
      return host.Counted("servers_leaving") == 1;
    })) << said.name;
    for (int call = 0; call < kCalls; ++call) {
      EXPECT_EQ(host.Call(EngineHost::Request("/once/")).status, 200)
          << said.name;
    }
    EXPECT_EQ(leaver.calls(), 1) << said.name;
  }
}

TEST(LeavingServer, OtherValuesSayNothing) {
  for (const std::string value : {"", "0", "no", "11", "1, 0", "-1", "1.0"}) {
    const ScriptedServer server([&value](const std::string&) {
      return ScriptedAnswer{
          Answer("200 OK", "Server-Leaving: " + value + "\r\n", "hi")};
    });
    EngineHost host({&server});
    for (int call = 0; call < 3; ++call) {
      EXPECT_EQ(host.Call(EngineHost::Request("/once/")).status, 200) << value;
    }
  }
}

// The answer of another server at the address says nothing of the one that was
// asked.
TEST(LeavingServer, AMisdirectedRequestMarksNobody) {
  const ScriptedServer server([](const std::string&) {
    return ScriptedAnswer{Answer("421 Misdirected Request", kLeaving, "")};
  });
  EngineHost host({&server});
  (void)host.Call(EngineHost::Request("/once/"));
  EXPECT_EQ(host.Counted("servers_leaving"), 0U);
}

TEST(LeavingServer, CallersGetTheAnswerAsItIsAndOneUnderWayIsCompleted) {
  const ScriptedServer server([](const std::string& request) {
    if (request.find("/stall/") != std::string::npos) {
      ScriptedAnswer slow{StreamHead() + Chunk(Event(1))};
      slow.rest = Chunk(Event(2)) + kLastChunk;
      slow.rest_after = std::chrono::milliseconds(600);
      return slow;
    }
    return ScriptedAnswer{Answer("200 OK", kLeaving, "hi")};
  });
  EngineHost host({&server});
  auto slow = std::async(std::launch::async, [&host] {
    return host.Call(EngineHost::Request("/stall/"));
  });
  EXPECT_TRUE(Eventually([&server] { return server.requests().size() == 1; }));
  const CallerAnswer said = host.Call(EngineHost::Request("/once/"));
  EXPECT_EQ(said.status, 200);
  EXPECT_EQ(HeaderOf(said.head, "Server-Leaving"), "1");
  const CallerAnswer whole = slow.get();
  EXPECT_TRUE(whole.whole);
  EXPECT_EQ(whole.body, Event(1) + Event(2));
}

TEST(LeavingServer, AServiceThatLeavesWholeRefusesAtOnce) {
  const Leaver first({Answer("200 OK", kLeaving, "hi")});
  EngineHost host({&first.server()});
  CallUntilAsked(host, first, "/once/");
  const auto began = std::chrono::steady_clock::now();
  const CallerAnswer refused = host.Call(EngineHost::Request("/once/"));
  EXPECT_EQ(refused.status, 503);
  EXPECT_NE(HeaderOf(refused.head, "Retry-After"), "");
  // A request that no server may take waits for a second on this route.
  EXPECT_LT(std::chrono::steady_clock::now() - began,
            std::chrono::milliseconds(500));
  EXPECT_TRUE(Eventually(
      [&host] { return host.Counted("requests_servers_leaving") == 1; }));
  EXPECT_EQ(first.calls(), 1);
}

TEST(LeavingServer, OnlyALaterIncarnationIsAskedAgain) {
  const Leaver leaver({Answer("200 OK", kLeaving, "hi")});
  EngineHost host({&leaver.server()});
  CallUntilAsked(host, leaver, "/once/");
  host.ChangeView([](TrafficView& view) {
    view.backends[0].entry.sequence += 1;
    view.backends[0].entry.slots += 1;
  });
  EXPECT_EQ(host.Call(EngineHost::Request("/once/")).status, 503);
  host.ChangeView([](TrafficView& view) { view.backends.clear(); });
  host.ListServers({{leaver.server().address()}});
  EXPECT_EQ(host.Call(EngineHost::Request("/once/")).status, 503);
  host.ChangeView(
      [](TrafficView& view) { view.backends[0].entry.started += 1; });
  EXPECT_EQ(host.Call(EngineHost::Request("/once/")).status, 200);
  EXPECT_EQ(host.Logged("server_leaving_over", "reason"),
            std::vector<std::string>{"replaced"});
}

TEST(LeavingServer, AStreamThatBreaksOffGoesOnAtAnotherServer) {
  std::vector<std::unique_ptr<ScriptedServer>> servers;
  std::atomic<int> asked_leaving = 0;
  std::atomic<int> streams = 0;
  const auto script = [&](const std::string& request) -> ScriptedAnswer {
    if (request.find("/stall/") == std::string::npos) {
      return Sound(request);
    }
    return ++streams == 1
               ? ScriptedAnswer{StreamHead() + Chunk(Event(1)), true}
               : ScriptedAnswer{StreamHead() + Chunk(Event(2)) + kLastChunk};
  };
  const ScriptedServer first(script);
  const ScriptedServer second(script);
  const ScriptedServer leaving([&](const std::string&) {
    ++asked_leaving;
    return ScriptedAnswer{Answer("200 OK", kLeaving, "hi")};
  });
  EngineHost host({&leaving, &first, &second});
  for (int call = 0; call < 100 && asked_leaving == 0; ++call) {
    (void)host.Call(EngineHost::Request("/once/"));
  }
  const CallerAnswer answer = host.Call(EngineHost::Request("/stall/"));
  EXPECT_EQ(answer.body, Event(1) + Event(2));
  EXPECT_EQ(asked_leaving, 1);
}

class NoExchange : public ServerExchange {
 public:
  auto OnHead(const AnswerHead& /*head*/) -> void override {}
  auto OnBody(std::string_view /*bytes*/) -> void override {}
  auto OnEnd(ExchangeEnd /*end*/) -> void override {}
};

TEST(LeavingServer, AnAnswerThatHasComeIsSeenWhenItsCallerLeft) {
  asio::io_context io;
  asio::io_context peer_io;
  asio::ip::tcp::acceptor acceptor(peer_io,
                                   {asio::ip::address_v4::loopback(), 0});
  int heads = 0;
  const auto connection = std::make_shared<ServerConnection>(
      io, acceptor.local_endpoint(), "Zinniastep-Attempt-Id",
      std::chrono::seconds(1), [&heads](const AnswerHead& head) {
        heads += head.find("Server-Leaving") == head.end() ? 0 : 1;
      });
  connection->Send("GET / HTTP/1.1\r\n\r\n", "a1", std::chrono::seconds(1),
                   std::make_shared<NoExchange>());
  io.run_for(std::chrono::milliseconds(50));
  asio::ip::tcp::socket peer(peer_io);
  acceptor.accept(peer);
  asio::write(peer, asio::buffer(Answer("200 OK", kLeaving, "hi")));
  connection->Cancel();
  EXPECT_EQ(heads, 1);
}

}  // namespace
}  // namespace zinniastep::testing
