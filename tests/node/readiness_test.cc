#include <cstdint>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/support/node_fleet.h"

namespace zinniastep::testing {
namespace {

constexpr std::uint32_t kHosts = 3;
// More than the first tables of a fleet take.
constexpr Duration kStart = std::chrono::seconds(10);
constexpr Duration kPatience = std::chrono::seconds(8);

auto Booking(const std::string& key) -> CallArrived {
  CallArrived call;
  call.target = ServiceCall{ServiceId("book"), "POST", "/"};
  call.idempotency_key = IdempotencyKey(key);
  call.body_hash = 1;
  call.deadline = kPatience;
  return call;
}

class ReadinessTest : public ::testing::TestWithParam<std::uint64_t> {};

// The object API goes away when the first tables are about to be written. A
// host that says that it is ready has to serve what needs no object API.
TEST_P(ReadinessTest, AHostIsReadyOnlyWhenItCanPlaceRequests) {
  NodeFleet fleet(GetParam(), kHosts);
  fleet.SetStepHook([&fleet](Step step, std::uint32_t /*host*/) {
    if (step == Step::kAssignmentWrite) {
      fleet.store_down = true;
      fleet.SetStepHook({});
    }
  });
  fleet.RunFor(kStart);
  ASSERT_TRUE(fleet.store_down);
  std::vector<std::size_t> calls;
  for (std::uint32_t host = 0; host < kHosts; ++host) {
    if (fleet.node(host).IsReady(fleet.now())) {
      const std::string prefix = fleet.node(host).Addresses().key_prefix;
      calls.push_back(fleet.Call(host, Booking(prefix + "dark")));
    }
  }
  fleet.RunFor(kPatience + std::chrono::seconds(1));
  for (const std::size_t call : calls) {
    const Try& made = fleet.tries()[call];
    EXPECT_TRUE(!made.ends.empty() && made.ends.front().answer.has_value())
        << "host " << made.host;
  }
  fleet.store_down = false;
  fleet.RunFor(kStart);
  for (std::uint32_t host = 0; host < kHosts; ++host) {
    EXPECT_TRUE(fleet.node(host).IsReady(fleet.now())) << "host " << host;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         ReadinessTest,
                         ::testing::Range<std::uint64_t>(1, 6));

}  // namespace
}  // namespace zinniastep::testing
