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

TEST(ModelLadder, UsesAnotherModelWhenTheSmallestIsNotConfident) {
  const ModelChoiceInputs idle{3, 0.2, 0.02, 2};
  EXPECT_EQ(FirstModel(idle), 0U);
  EXPECT_EQ(NextModel(idle, 0, 20), 2U);
  EXPECT_FALSE(NextModel(idle, 0, 80).has_value());
  EXPECT_FALSE(NextModel(idle, 2, 0).has_value()) << "none is larger";
}

TEST(ModelLadder, KeepsTheFirstAnswerWhenServersAreFull) {
  EXPECT_FALSE(NextModel({3, 1.5, 0.02, 2}, 0, 0).has_value());
  EXPECT_FALSE(NextModel({3, 0.2, 0.02, 0}, 0, 0).has_value())
      << "no send is left";
}

// A host of a large fleet receives load reports of servers late. It measures at
// once that answers begin late, and sends fewer requests to a second model.
TEST(ModelLadder, LateAnswersAreNotSentToASecondModel) {
  AnswerDelay delay;
  for (int answer = 0; answer < 30; ++answer) {
    delay.RecordAnswerStart(0.03);
  }
  EXPECT_EQ(NextModel({3, 0.1, delay.lateness(), 2}, 0, 40), 2U);
  for (int answer = 0; answer < 30; ++answer) {
    delay.RecordAnswerStart(0.6);
  }
  EXPECT_FALSE(NextModel({3, 0.1, delay.lateness(), 2}, 0, 0).has_value());
  for (int answer = 0; answer < 60; ++answer) {
    delay.RecordAnswerStart(0.03);
  }
  EXPECT_EQ(NextModel({3, 0.1, delay.lateness(), 2}, 0, 40), 2U);
}

TEST(ModelLadder, UrgencyStaysWithinTheEnginesRange) {
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
TEST(ModelLadder, NeedsTimeForASecondAnswer) {
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
  const TrafficPolicy policy(1, {wide, narrow}, {}, {}, {});
  EXPECT_EQ(policy.FindRoute("x", "/a/b/c")->name, "narrow");
  EXPECT_EQ(policy.FindRoute("x", "/a/bc")->name, "wide");
  EXPECT_EQ(policy.FindRoute("x", "/b/"), nullptr);
  EXPECT_EQ(policy.FindRoute("y", "/a/"), nullptr);
}

}  // namespace
}  // namespace zinniastep::testing
