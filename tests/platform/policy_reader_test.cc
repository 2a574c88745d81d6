#include "platform/policy_reader.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "libzinniastep/base/random.h"
#include "platform/record_reader.h"

namespace zinniastep::platform {
namespace {

constexpr int kVersions = 3000;
constexpr std::string_view kService = R"([{"Name":"p","ColdPerS":1.5}])";

// Spec members of a configuration that is changed step by step.
struct Draft {
  std::vector<std::string> routes;
  std::string routes_key = "Routes";
  std::string limits = R"({"MaxBodyBytes":99})";
  std::string tail;
  std::string space;
};

auto Text(const Draft& draft, int version) -> std::string {
  std::string routes;
  for (const std::string& route : draft.routes) {
    routes += (routes.empty() ? "" : "," + draft.space) + route;
  }
  return R"({"Metadata":{"Name":"c"},"Spec":{"Version":)" +
         std::to_string(version) + R"(,")" + draft.routes_key + R"(":[)" +
         draft.space + routes + R"(],"Services":)" + std::string(kService) +
         R"(,"Limits":)" + draft.limits + draft.tail + "}}";
}

auto SoundRoute(Random& random) -> std::string {
  const std::string number = std::to_string(random.Below(1000));
  return R"({"Name":"r)" + number + R"(","Host":"h","PathPrefix":"/)" + number +
         R"(/","Kind":"streaming","TimeoutMs":)" + number +
         R"(,"Sizes":["a]","b}\""],"TrafficSplit":[{"Service":"p","Weight":)" +
         number + R"(}],"AllowedRegions":["n"]})";
}

auto OddRoute(Random& random) -> std::string {
  static const std::vector<std::string> odd = {
      "null",
      "7",
      "{}",
      R"({"Name":"odd","Host":"h"})",
      R"({"Name":"odd","TimeoutMs":1e999})",
      R"({"Name":"odd",})",
      R"({"Name":"o\"dd","Host":"]","Kind":5})",
      R"({"Name":"x","Host":"h","PathPrefix":"/a/","Kind":"k","TimeoutMs":-1})",
      std::string(70, '[') + std::string(70, ']'),
      "\"\xff\"",
      "\"",
      "]",
      ""};
  return odd[random.Below(odd.size())];
}

auto ChangeRoutes(Random& random, std::vector<std::string>& routes) -> void {
  const std::size_t at = random.Below(routes.size() + 1);
  if (at == routes.size() || random.Below(2) == 0) {
    routes.insert(routes.begin() + static_cast<std::ptrdiff_t>(at),
                  SoundRoute(random));
  } else if (random.Below(2) == 0) {
    routes.erase(routes.begin() + static_cast<std::ptrdiff_t>(at));
  } else {
    // The same text twice, in another order.
    std::swap(routes[at], routes.front());
    routes.push_back(routes[at]);
  }
  if (routes.size() > 30) {
    routes.resize(15);
  }
}

// Returns the draft with something that the fast way may not understand.
auto Odd(Random& random, Draft draft) -> Draft {
  switch (random.Below(6)) {
    case 0:
      draft.routes_key = R"(\u0052outes)";
      break;
    case 1:
      draft.tail = R"(,"Routes":[])";
      break;
    case 2:
      draft.tail = R"(,"\u0052outes":[)" + SoundRoute(random) + "]";
      break;
    case 3:
      draft.limits = R"({"MaxBodyBytes":"99"})";
      break;
    case 4:
      draft.tail = "}";
      break;
    default:
      draft.routes.insert(
          draft.routes.begin() + static_cast<std::ptrdiff_t>(
                                     random.Below(draft.routes.size() + 1)),
          OddRoute(random));
      break;
  }
  return draft;
}

auto ExpectSame(const absl::StatusOr<std::shared_ptr<const TrafficPolicy>>& a,
                const absl::StatusOr<std::shared_ptr<const TrafficPolicy>>& b)
    -> void {
  ASSERT_EQ(a.status(), b.status());
  if (!a.ok()) {
    return;
  }
  EXPECT_EQ((*a)->version(), (*b)->version());
  EXPECT_EQ((*a)->routes(), (*b)->routes());
  EXPECT_EQ((*a)->services().size(), (*b)->services().size());
  EXPECT_EQ((*a)->limits().body_bytes, (*b)->limits().body_bytes);
  ASSERT_EQ((*a)->unreadable().size(), (*b)->unreadable().size());
  for (std::size_t index = 0; index < (*a)->unreadable().size(); ++index) {
    const UnreadableRule& one = (*a)->unreadable()[index];
    const UnreadableRule& other = (*b)->unreadable()[index];
    EXPECT_EQ(one.kind, other.kind);
    EXPECT_EQ(one.name, other.name);
    EXPECT_EQ(one.reason, other.reason);
  }
}

TEST(PolicyReader, ReadsEveryVersionAsIfItWereTheFirst) {
  Random random(1);
  PolicyReader reader;
  Draft draft;
  int refused = 0;
  int unreadable = 0;
  for (int version = 0; version < kVersions; ++version) {
    for (std::uint64_t left = random.Below(4); left > 0; --left) {
      ChangeRoutes(random, draft.routes);
    }
    draft.space = random.Below(8) == 0 ? " \n" : "";
    const Draft shown = random.Below(4) == 0 ? Odd(random, draft) : draft;
    const StoredRecord record{"c", 1, Text(shown, version)};
    const auto expected = ReadPolicy(record);
    ExpectSame(reader.Read(record), expected);
    ASSERT_FALSE(HasFailure()) << record.content;
    refused += expected.ok() ? 0 : 1;
    unreadable += expected.ok() && !(*expected)->unreadable().empty() ? 1 : 0;
  }
  EXPECT_GT(refused, 100);
  EXPECT_GT(unreadable, 100);
}

TEST(PolicyReader, TakesKnownRoutesWithoutReadingThemAgain) {
  ForwardingRoute known;
  known.name = "known";
  const std::vector<const ForwardingRoute*> routes = {&known};
  Random random(1);
  Draft draft;
  draft.routes = {"null", SoundRoute(random)};
  const auto policy = ReadPolicyWithKnownRoutes(Text(draft, 1), routes);
  ASSERT_TRUE(policy.ok()) << policy.status();
  ASSERT_EQ((*policy)->routes().size(), 2U);
  EXPECT_EQ((*policy)->routes()[0].name, "known");
  EXPECT_NE((*policy)->routes()[1].name, "known");
  EXPECT_TRUE((*policy)->unreadable().empty());
}

}  // namespace
}  // namespace zinniastep::platform
