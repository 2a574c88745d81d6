#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "libzinniastep/gateway/front_advice.h"
#include "libzinniastep/gateway/model_choice.h"
#include "libzinniastep/gateway/prompt_shape.h"
#include "libzinniastep/gateway/traffic_policy.h"
#include "tests/support/gateway_samples.h"

namespace zinniastep::testing {
namespace {

TEST(PromptShape, SeparatesSharedPartsFromTheLastPart) {
  const PromptShape shape =
      ReadPromptShape("5c1e:800,91bd:410,e440:250", "1460,80");
  EXPECT_EQ(shape.shared_tokens, 1210.0);
  EXPECT_EQ(shape.prompt_tokens, 1460.0);
  EXPECT_EQ(shape.output_tokens, 80.0);
  EXPECT_EQ(shape.shared,
            ReadPromptShape("5c1e:800,91bd:410,ffff:9", "").shared);
  EXPECT_NE(shape.shared, ReadPromptShape("5c1e:800,ffff:9", "").shared);
  EXPECT_EQ(ReadPromptShape("ffff:9", "").shared, 0U);
}

// Requests of a session share all parts but the last one, which differs in each
// request. When sessions were identified by the last part, one session used
// both versions of a roll-out.
TEST(PromptShape, RequestsThatDifferInTheLastPartAreOfOneSession) {
  const PromptShape first = ReadPromptShape("5c1e:800,91bd:410,e440:250", "");
  const PromptShape second = ReadPromptShape("5c1e:800,91bd:410,a1b2:900", "");
  const PromptShape other = ReadPromptShape("5c1e:800,77aa:410,e440:250", "");
  EXPECT_EQ(first.session, second.session);
  EXPECT_NE(first.session, other.session);
  EXPECT_NE(ReadPromptShape("ffff:9", "").session,
            ReadPromptShape("eeee:9", "").session);
  EXPECT_EQ(ReadPromptShape("", "").session, 0U);
}

TEST(PromptShape, UnreadablePartsGiveNoHint) {
  const PromptShape shape = ReadPromptShape(",,:x", "a,b");
  EXPECT_EQ(shape.prompt_tokens, 0.0);
  EXPECT_EQ(shape.shared_tokens, 0.0);
}

TEST(ModelChoice, UrgencyStaysWithinTheEnginesRange) {
  EXPECT_LT(EngineUrgency(0), EngineUrgency(1));
  EXPECT_LE(EngineUrgency(1000), 9U);
}

TEST(FrontAdvice, ReturnsTheRegionsHostsUnlessTheyAreTooFew) {
  TrafficView view;
  view.fronts = {{"a", FailureDomainId("north"), RegionId("here")},
                 {"b", FailureDomainId("south"), RegionId("here")},
                 {"c", FailureDomainId("far"), RegionId("there")}};
  EXPECT_EQ(AdviseFronts(view, RegionId("here")),
            (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(AdviseFronts(view, RegionId("there")).size(), 3U);
  EXPECT_EQ(AdviseFronts(view, RegionId("")).size(), 3U);
}

// An available answer is not discarded for one that arrives too late.
TEST(ModelChoice, NeedsTimeForASecondAnswer) {
  using std::chrono::milliseconds;
  EXPECT_TRUE(LeavesTimeForAnother(milliseconds(300), milliseconds(3700)));
  EXPECT_FALSE(LeavesTimeForAnother(milliseconds(4000), milliseconds(900)));
  EXPECT_FALSE(LeavesTimeForAnother(milliseconds(10), milliseconds(-1)));
}

// In a large fleet each failure domain has some preferred hosts, so that the
// loss of one domain leaves callers most of the addresses that they received.
TEST(FrontAdvice, SomeHostsOfEachDomainArePreferred) {
  std::vector<HostIdentity> hosts;
  for (int index = 0; index < 295; ++index) {
    HostIdentity host;
    host.host = HostId("h" + std::to_string(index));
    host.domain = FailureDomainId("d" + std::to_string(index % 6));
    hosts.push_back(host);
  }
  std::map<FailureDomainId, int> by_domain;
  for (const HostIdentity& host : PreferredFronts(hosts)) {
    ++by_domain[host.domain];
  }
  ASSERT_EQ(by_domain.size(), 6U);
  for (const auto& [domain, count] : by_domain) {
    EXPECT_EQ(count, 12) << domain.text();
  }
  hosts.resize(8);
  EXPECT_EQ(PreferredFronts(hosts).size(), 8U) << "all of a small fleet";
}

TEST(FrontAdvice, ReturnsAtMostTheMaximumNumberOfAddresses) {
  TrafficView view;
  for (int host = 0; host < 200; ++host) {
    view.fronts.push_back(
        {std::to_string(host), FailureDomainId("north"), RegionId("here")});
  }
  EXPECT_EQ(AdviseFronts(view, RegionId("here")).size(), kMostAdvisedFronts);
}

TEST(TrafficPolicy, TheLongestPrefixOfTheHostWins) {
  ForwardingRoute wide;
  wide.name = "wide";
  wide.host = "x";
  wide.path_prefix = "/a/";
  ForwardingRoute narrow = wide;
  narrow.name = "narrow";
  narrow.path_prefix = "/a/b/";
  const TrafficPolicy policy(1, {wide, narrow}, {}, CallerAccess(OpenAccess()),
                             {});
  EXPECT_EQ(policy.FindRoute("x", "/a/b/c")->name, "narrow");
  EXPECT_EQ(policy.FindRoute("x", "/a/bc")->name, "wide");
  EXPECT_EQ(policy.FindRoute("x", "/b/"), nullptr);
  EXPECT_EQ(policy.FindRoute("y", "/a/"), nullptr);
}

}  // namespace
}  // namespace zinniastep::testing
