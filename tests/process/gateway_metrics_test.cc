#include <gtest/gtest.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/process/child_process.h"
#include "tests/process/exposition_page.h"
#include "tests/process/fleet_process.h"
#include "tests/process/http_client.h"

namespace zinniastep::testing {
namespace {

using std::chrono::seconds;

constexpr int kLoopbackNumbers = 250;

auto Address(int port) -> std::string {
  return "127.91." + std::to_string(1 + getpid() % kLoopbackNumbers) +
         ".1:" + std::to_string(port);
}

auto Settings() -> nlohmann::json {
  return {{"host", "host-a"},
          {"failure_domain", "perth-a"},
          {"region", "perth"},
          {"regions", {{"perth-a", "perth"}}},
          {"caller_address", Address(8227)},
          {"ready_address", Address(8220)},
          {"directory_address", Address(8224)},
          {"metrics_address", Address(7341)},
          {"peer_address", Address(7340)},
          {"seeds", nlohmann::json::array()},
          {"store_address", Address(8223)},
          {"signing_keys", {"key"}},
          {"shutdown_s", 2},
          {"most_descriptors", 1024}};
}

// Without a store each request is refused, which the metrics count.
auto SendRequest() -> HttpReply {
  return Exchange("POST", "http://" + Address(8227) + "/v1/infer", "{}", {},
                  seconds(2));
}

auto Scrape() -> HttpReply {
  return Exchange("GET", "http://" + Address(7341) + "/", "", {}, seconds(2));
}

TEST(GatewayMetricsTest, ScrapeNeitherHangsNorHoldsUpRequestsOrTheEnd) {
  const std::string file = WriteTestFile("gateway.json", Settings());
  ChildProcess gateway("../platform/zinniastep-gateway",
                       {"--settings=" + file});
  ASSERT_TRUE(Eventually([] { return SendRequest().complete; }));

  const HttpReply page = Scrape();
  EXPECT_TRUE(page.complete);
  EXPECT_EQ(page.status, 200);
  EXPECT_NE(page.body.find("_seconds_count "), std::string::npos) << page.body;
  EXPECT_EQ(ExpositionPage(page.body).findings(), std::vector<std::string>());
  EXPECT_EQ(page.headers.count("content-type"), 1U);
  if (page.headers.count("content-type") == 1) {
    EXPECT_EQ(page.headers.at("content-type"), "text/plain; version=0.0.4");
  }

  EXPECT_TRUE(SendRequest().complete);
  gateway.Signal(SIGTERM);
  EXPECT_EQ(gateway.Wait(seconds(5)), 0);
}

TEST(GatewayMetricsTest, EachScrapeBesideRequestsIsAnswered) {
  constexpr int kScrapes = 50;
  const std::string file = WriteTestFile("gateway.json", Settings());
  const ChildProcess gateway("../platform/zinniastep-gateway",
                             {"--settings=" + file});
  ASSERT_TRUE(Eventually([] { return SendRequest().complete; }));

  std::atomic<bool> scraping = true;
  int unanswered = 0;
  std::thread caller([&] {
    do {
      unanswered += SendRequest().complete ? 0 : 1;
    } while (scraping);
  });
  for (int i = 0; i < kScrapes; ++i) {
    const HttpReply page = Scrape();
    EXPECT_TRUE(page.complete);
    EXPECT_EQ(ExpositionPage(page.body).findings(), std::vector<std::string>());
  }
  scraping = false;
  caller.join();
  EXPECT_EQ(unanswered, 0);
}

}  // namespace
}  // namespace zinniastep::testing
