#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <gtest/gtest.h>

#include "libzinniastep/base/random.h"
#include "libzinniastep/gateway/caller_access.h"
#include "libzinniastep/gateway/traffic_policy.h"

namespace zinniastep::testing {
namespace {

constexpr int kPolicies = 300;
constexpr int kLookupsPerPolicy = 200;
// Few letters, so that prefixes repeat, nest and share their beginnings. The
// last one sorts below the slash if it is taken for a signed character.
constexpr std::string_view kLetters = "/ab-\xc3";

// Returns the first of the host's routes with the longest prefix of the path,
// or null, by a scan over all routes.
auto ScanForRoute(const TrafficPolicy& policy,
                  std::string_view host,
                  std::string_view path) -> const ForwardingRoute* {
  const ForwardingRoute* longest = nullptr;
  for (const ForwardingRoute& route : policy.routes()) {
    if (route.host == host && path.starts_with(route.path_prefix) &&
        (longest == nullptr ||
         route.path_prefix.size() > longest->path_prefix.size())) {
      longest = &route;
    }
  }
  return longest;
}

auto RandomPath(Random& random, std::size_t most_letters) -> std::string {
  std::string path = "/";
  for (std::size_t left = random.Below(most_letters + 1); left > 0; --left) {
    path.push_back(kLetters[random.Below(kLetters.size())]);
  }
  return path;
}

auto RandomHost(Random& random) -> std::string {
  return "host-" + std::to_string(random.Below(3));
}

auto RandomRoutes(Random& random) -> std::vector<ForwardingRoute> {
  std::vector<ForwardingRoute> routes(random.Below(60));
  for (std::size_t index = 0; index < routes.size(); ++index) {
    routes[index].name = std::to_string(index);
    routes[index].host = RandomHost(random);
    routes[index].path_prefix = RandomPath(random, 6);
    // A configuration may hold a prefix that does not end with a slash.
    if (random.Below(4) != 0 && !routes[index].path_prefix.ends_with('/')) {
      routes[index].path_prefix.push_back('/');
    }
  }
  return routes;
}

TEST(RouteLookup, FindsTheSameRoutesAsAScanOverAllRoutes) {
  Random random(1);
  int found = 0;
  for (int policies = 0; policies < kPolicies; ++policies) {
    const TrafficPolicy policy(1, RandomRoutes(random), {},
                               CallerAccess(OpenAccess()), {});
    for (int lookups = 0; lookups < kLookupsPerPolicy; ++lookups) {
      const std::string host = RandomHost(random);
      const std::string path = RandomPath(random, 9);
      const ForwardingRoute* expected = ScanForRoute(policy, host, path);
      ASSERT_EQ(policy.FindRoute(host, path), expected) << host << path;
      found += expected != nullptr ? 1 : 0;
    }
  }
  EXPECT_GT(found, 1000) << "too few of the paths have a route";
}

TEST(RouteLookup, FindsTheSameRoutesInACopyOfThePolicy) {
  Random random(2);
  const TrafficPolicy policy(1, RandomRoutes(random), {},
                             CallerAccess(OpenAccess()), {});
  const auto copy = policy.WithLastSound(nullptr);
  for (int lookups = 0; lookups < kLookupsPerPolicy; ++lookups) {
    const std::string host = RandomHost(random);
    const std::string path = RandomPath(random, 9);
    ASSERT_EQ(copy->FindRoute(host, path), ScanForRoute(*copy, host, path))
        << host << path;
  }
}

TEST(RouteLookup, AnEmptyPathHasNoRoute) {
  ForwardingRoute route;
  route.host = "x";
  route.path_prefix = "/";
  const TrafficPolicy policy(1, {route}, {}, CallerAccess(OpenAccess()), {});
  EXPECT_EQ(policy.FindRoute("x", ""), nullptr);
}

}  // namespace
}  // namespace zinniastep::testing
