#include <chrono>
#include <string>
#include <thread>

#include <gtest/gtest.h>

#include "tests/process/child_process.h"
#include "tests/traffic/engine_host.h"
#include "tests/traffic/slow_reader.h"

namespace zinniastep::testing {
namespace {

TEST(LateReader, ARequestIsNotBrokenOffWhileItsServerReadsNothingYet) {
  SlowReader server;
  EngineHost host(ServerAddresses{{server.address()}});
  const std::string body(std::size_t{3} << 20U, 'b');
  std::thread reader([&server] {
    EXPECT_TRUE(Eventually([&server] { return server.connections() > 0; }));
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    EXPECT_TRUE(
        Eventually([end] { return std::chrono::steady_clock::now() >= end; }));
    EXPECT_FALSE(server.IsReset());
  });
  const CallerAnswer answer = host.CallUntil(
      EngineHost::Request("/once/", "", body), std::chrono::seconds(6));
  reader.join();
  EXPECT_EQ(answer.status, 0);
  EXPECT_TRUE(host.Logged("send_failed", "after_ms").empty());
}

TEST(LateReader, ARequestIsTakenBackWhenItsServerLeavesWithoutReadingIt) {
  SlowReader server;
  EngineHost host(ServerAddresses{{server.address()}});
  const std::string body(std::size_t{3} << 20U, 'b');
  std::thread caller([&host, &body] {
    EXPECT_EQ(host.Call(EngineHost::Request("/once/", "", body)).status, 502);
  });
  EXPECT_TRUE(Eventually([&server] { return server.connections() > 0; }));
  host.ListServers(ServerAddresses{{""}});
  caller.join();
  EXPECT_TRUE(server.IsReset());
}

}  // namespace
}  // namespace zinniastep::testing
