#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <thread>

#include "libzinniastep/configuration/server_roster_reader.h"
#include "tests/process/fleet_process.h"
#include "tests/process/standin_process.h"
#include "zinniastep-standin/answer_text.h"

namespace zinniastep::testing {
namespace {

using nlohmann::json;

auto SmallPlatform() -> json {
  return {{"versions",
           {{{"id", "m@1"}, {"first_token_us", 1000}, {"token_us", 500}}}},
          {"servers",
           {{{"name", "engine"},
             {"versions", {"m@1"}},
             {"cold_limit", 1},
             {"warm_after", 2},
             {"restart_ms", 20},
             {"cold_notice_ms", 0},
             {"load_lag_ms", 10},
             {"checks_fencing", true}},
            {{"name", "app"}, {"service", "bookings"}, {"cold_limit", 4}}}},
          {"objects", {{{"path", "roster"}, {"value", {"@engine"}}}}}};
}

auto Chat(const StandinProcess& standin,
          const std::string& attempt,
          const json& more = json::object()) -> HttpReply {
  json body = {
      {"messages", {{{"role", "user"}, {"content", "why " + attempt}}}}};
  body.update(more);
  return Exchange("POST",
                  "http://" + standin.server("engine") + "/v1/chat/completions",
                  body.dump(),
                  {"X-Attempt-Id: " + attempt,
                   "X-Request-Id: request-" + attempt, "X-Model-Version: m@1"});
}

auto Prompt(const std::string& attempt) -> std::string {
  return "why " + attempt + "\n";
}

auto Warm(const StandinProcess& standin) -> bool {
  return Eventually([&] {
    Chat(standin, "warm");
    const auto load =
        Exchange("GET", "http://" + standin.server("engine") + "/load").json();
    return load.value("warm", false);
  });
}

TEST(StandinTest, AnEngineCrashesOnAMarkedPromptAndComesBack) {
  const StandinProcess standin(SmallPlatform());
  ASSERT_TRUE(Warm(standin));
  ASSERT_TRUE(standin.SetFault(
      {{"kind", "server"}, {"name", "engine"}, {"crash_on", "why bad"}}));
  EXPECT_NE(Chat(standin, "bad one").status, 200);
  EXPECT_TRUE(Eventually([&] { return Chat(standin, "good").status == 200; }));
  EXPECT_NE(Chat(standin, "bad two").status, 200);
}

TEST(StandinTest, ObjectsChangeOnlyUnderTheirVersion) {
  const StandinProcess standin(SmallPlatform());
  ASSERT_TRUE(standin.ready());
  EXPECT_EQ(Exchange("GET", standin.Url("/objects/roster")).json()[0],
            standin.server("engine"));
  const std::string url = standin.Url("/objects/config/a");
  EXPECT_EQ(Exchange("PUT", url, "x").status, 428);
  const HttpReply first = Exchange("PUT", url, "x", {"If-Match: 0"});
  EXPECT_EQ(first.status, 200);
  EXPECT_EQ(Exchange("PUT", url, "y", {"If-Match: 0"}).status, 409);
  const std::string version = first.headers.at("etag");
  auto watch = std::async(std::launch::async, [&] {
    return Exchange("GET",
                    standin.Url("/watch?prefix=config/&after=" + version));
  });
  EXPECT_EQ(Exchange("PUT", url, "y", {"If-Match: " + version}).status, 200);
  EXPECT_EQ(watch.get().json()["objects"][0]["value"], "y");
  EXPECT_EQ(Exchange("GET", standin.Url("/list?prefix=config"))
                .json()["objects"]
                .size(),
            1U);
}

TEST(StandinTest, AnAnswerCanBeLostAfterTheWrite) {
  const StandinProcess standin(SmallPlatform());
  ASSERT_TRUE(standin.SetFault({{"kind", "store"}, {"lose_next", 1}}));
  const std::string url = standin.Url("/objects/claims/1");
  EXPECT_FALSE(Exchange("PUT", url, "mine", {"If-Match: 0"}).complete);
  EXPECT_EQ(Exchange("GET", url).body, "mine");
  ASSERT_TRUE(standin.SetFault({{"kind", "store"}, {"outage", "refuse"}}));
  EXPECT_EQ(Exchange("GET", url).status, 503);
  ASSERT_TRUE(standin.SetFault({{"kind", "store"}, {"outage", "none"}}));
  EXPECT_EQ(Exchange("GET", url).status, 200);
}

TEST(StandinTest, AnswersAreWholeAndOfTheirOwnPrompt) {
  const StandinProcess standin(SmallPlatform());
  const json whole = Chat(standin, "a").json();
  const std::string text = whole["choices"][0]["message"]["content"];
  EXPECT_TRUE(standin::IsWholeAnswer(text, Prompt("a")));
  EXPECT_FALSE(standin::IsWholeAnswer(text, Prompt("b")));
  EXPECT_FALSE(
      standin::IsWholeAnswer(text.substr(0, text.size() / 2), Prompt("a")));
  const HttpReply streamed = Chat(standin, "b", {{"stream", true}});
  EXPECT_TRUE(streamed.body.ends_with("data: [DONE]\n\n"));
  EXPECT_NE(streamed.body.find("confidence"), std::string::npos);
  EXPECT_EQ(standin.CountRuns("outcome", "answered"), 2);
}

TEST(StandinTest, AColdServerFallsOverAboveItsLimit) {
  const StandinProcess standin(SmallPlatform());
  std::vector<std::future<HttpReply>> replies;
  replies.reserve(2);
  for (const char* attempt : {"a", "b"}) {
    replies.push_back(std::async(std::launch::async, [&standin, attempt] {
      return Chat(standin, attempt, {{"max_tokens", 2000}});
    }));
  }
  for (auto& reply : replies) {
    EXPECT_NE(reply.get().status, 200);
  }
  EXPECT_EQ(standin.Account()["servers"]["engine"]["over_cold_limit"], 1);
  EXPECT_TRUE(Warm(standin));
}

TEST(StandinTest, RatesTheAnswerOfARequest) {
  const StandinProcess standin(SmallPlatform());
  ASSERT_EQ(Chat(standin, "a").status, 200);
  const auto rate = [&](const std::string& request) {
    const json body = {{"request", request}, {"model", "m"}, {"version", "1"}};
    return Exchange("POST", standin.Url("/rate"), body.dump());
  };
  EXPECT_TRUE(rate("request-a").json().contains("rating"));
  EXPECT_EQ(rate("request-b").status, 204);
}

TEST(StandinTest, AnOldFenceIsRefused) {
  const StandinProcess standin(SmallPlatform());
  const std::string url = "http://" + standin.server("engine") + "/orders";
  const auto order = [&](int fence) {
    const json body = {
        {"fence", fence}, {"action", "load"}, {"model", "m"}, {"version", "2"}};
    return Exchange("POST", url, body.dump()).status;
  };
  EXPECT_EQ(order(5), 200);
  EXPECT_EQ(order(4), 409);
  EXPECT_EQ(order(5), 200);
}

TEST(StandinTest, TheExampleBeginsWithATopologyThatCanBeRead) {
  const StandinProcess standin(ReadExample("standin.json"));
  ASSERT_TRUE(standin.ready());
  std::size_t servers = 0;
  for (const char* domain : {"perth-a", "perth-b", "bunbury-a"}) {
    const HttpReply reply = Exchange(
        "GET", standin.Url(std::string("/objects/topology/servers/") + domain));
    const auto roster = ReadServerRoster(reply.body);
    ASSERT_TRUE(roster.value.has_value()) << reply.body;
    servers += roster.value->servers.size();
  }
  EXPECT_EQ(servers, 12U);
}

TEST(StandinTest, EndsOnSigterm) {
  StandinProcess standin(SmallPlatform());
  ASSERT_TRUE(standin.ready());
  standin.process().Signal(SIGTERM);
  EXPECT_EQ(standin.process().Wait(std::chrono::seconds(20)), 0);
}

}  // namespace
}  // namespace zinniastep::testing
