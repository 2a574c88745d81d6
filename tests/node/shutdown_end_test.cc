#include <cstddef>
#include <cstdint>
#include <ranges>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/support/node_fleet.h"

namespace zinniastep::testing {
namespace {

constexpr std::uint32_t kHosts = 3;
constexpr Duration kStart = std::chrono::seconds(10);
constexpr Duration kDeadline = std::chrono::minutes(9);
// Longer than the longest graceful shutdown.
constexpr Duration kLongRun = std::chrono::minutes(4);
// More than the servers of the fleet run at a time.
constexpr std::size_t kCalls = 200;

auto Booking(const std::string& key) -> CallArrived {
  CallArrived call;
  call.target = ServiceCall{ServiceId("book"), "POST", "/"};
  call.idempotency_key = IdempotencyKey(key);
  call.body_hash = 1;
  call.deadline = kDeadline;
  return call;
}

class ShutdownEndTest : public ::testing::TestWithParam<std::uint64_t> {};

// Guards against requests that end without a word when the time is over.
TEST_P(ShutdownEndTest, CallersLearnWhatBecameOfOpenRequests) {
  NodeFleet fleet(GetParam(), kHosts);
  fleet.RunFor(kStart);
  fleet.extra_run_time = kLongRun;
  std::vector<std::size_t> calls;
  for (std::size_t i = 0; i < kCalls; ++i) {
    calls.push_back(
        fleet.Call(0, Booking(i % 2 == 0 ? "" : "key-" + std::to_string(i))));
  }
  fleet.RunFor(std::chrono::seconds(1));
  fleet.ShutDown(0);
  fleet.RunFor(NodeOptions().longest_shutdown);
  EXPECT_FALSE(fleet.is_alive(0));
  std::size_t not_run = 0;
  std::size_t unknown = 0;
  for (const std::size_t call : calls) {
    const Try& made = fleet.tries()[call];
    ASSERT_EQ(made.ends.size(), 1) << call;
    const TryEnd& end = made.ends.front();
    ASSERT_TRUE(end.refusal.has_value()) << call;
    const bool ran = std::ranges::any_of(fleet.runs(), [&end](const auto& run) {
      return run.attempt.request == end.request;
    });
    const bool says_not_run = end.refusal->run_state == RunState::kNotRun;
    EXPECT_NE(ran, says_not_run) << call;
    EXPECT_TRUE(says_not_run || end.refusal->status == 502)
        << end.refusal->status;
    (says_not_run ? not_run : unknown) += 1;
  }
  EXPECT_GT(not_run, 0);
  EXPECT_GT(unknown, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         ShutdownEndTest,
                         ::testing::Range<std::uint64_t>(1, 6));

}  // namespace
}  // namespace zinniastep::testing
