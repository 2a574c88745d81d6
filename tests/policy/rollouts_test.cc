#include "libzinniastep/rollout/rollouts.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "bench/policy/fake_cluster.h"

namespace zinniastep {
namespace {

using std::chrono::seconds;

const ModelVersion kOld{"model", "1"};
const ModelVersion kNew{"model", "2"};

auto MakeDocument() -> Document {
  Document document;
  document.team = TeamId("team");
  document.generation = 1;
  for (const ModelVersion& version : {kOld, kNew}) {
    VersionRule rule;
    rule.id = version;
    document.versions.push_back(rule);
  }
  RolloutRule rollout;
  rollout.id = RolloutId("rollout");
  rollout.model = "model";
  rollout.from_version = "1";
  rollout.to_version = "2";
  rollout.steps = {0.1, 0.5, 1.0};
  rollout.session_share = 0.3;
  document.rollouts.push_back(rollout);
  return document;
}

class RolloutsTest : public testing::Test {
 protected:
  RolloutsTest() { configuration_.documents[TeamId("team")] = MakeDocument(); }

  auto document() -> Document& {
    return configuration_.documents.begin()->second;
  }
  auto rollout() -> RolloutRule& { return document().rollouts.front(); }

  auto Resolve(const VersionQuery& query) -> ModelVersion {
    return rollouts_.ResolveVersion(query).value_or(ModelVersion{});
  }

  // Returns the share of requests outside of sessions that run on the new
  // version.
  auto ShareOfNewVersion() -> double {
    constexpr int kRequests = 4000;
    int on_new = 0;
    for (int i = 0; i < kRequests; ++i) {
      VersionQuery query;
      query.model = "model";
      query.request = {1, static_cast<std::uint64_t>(i)};
      on_new += Resolve(query) == kNew ? 1 : 0;
    }
    return static_cast<double>(on_new) / kRequests;
  }

  auto AddAnswers(const ModelVersion& version,
                  int count,
                  bool failed,
                  const char* account = "a") -> void {
    AnswerEvidence evidence;
    evidence.version = version;
    evidence.account = ClientAccountId(account);
    evidence.failed = failed;
    evidence.first_token_ms = 100.0;
    evidence.completion_tokens = 100;
    for (int i = 0; i < count; ++i) {
      rollouts_.OnAnswer(evidence);
    }
  }

  auto AdvanceTime(seconds time) -> std::vector<RolloutProposal> {
    now_ += time;
    return rollouts_.OnTime(now_, effects_);
  }

  Instant now_ = Instant() + seconds(1000);
  ConfigurationSnapshot configuration_;
  FakeCluster cluster_{1, 0};
  QualityModel quality_;
  Effects effects_;
  Rollouts rollouts_{configuration_, cluster_, quality_, 1};
};

TEST_F(RolloutsTest, RequestsFollowTheStepAndSessionsDoNot) {
  const auto session_version = [&](int i) {
    VersionQuery query;
    query.model = "model";
    query.session = SessionId("session-" + std::to_string(i));
    return Resolve(query);
  };
  constexpr int kSessions = 200;
  std::vector<ModelVersion> before;
  before.reserve(kSessions);
  for (int i = 0; i < kSessions; ++i) {
    before.push_back(session_version(i));
  }
  EXPECT_NEAR(ShareOfNewVersion(), 0.1, 0.02);
  for (const std::uint32_t step : {1U, 2U, 0U}) {
    rollout().step = step;
    EXPECT_NEAR(ShareOfNewVersion(), rollout().steps[step], 0.03);
    for (int i = 0; i < kSessions; ++i) {
      EXPECT_EQ(session_version(i), before[i]);
    }
  }
  rollout().state = RolloutRule::State::kFinished;
  EXPECT_EQ(ShareOfNewVersion(), 1.0);
  for (int i = 0; i < kSessions; ++i) {
    EXPECT_EQ(session_version(i), before[i]);
  }
}

TEST_F(RolloutsTest, WithdrawalOverridesSessionAndToken) {
  VersionQuery query;
  query.model = "model";
  query.session = SessionId("session");
  query.session_version = kNew;
  EXPECT_EQ(Resolve(query), kNew);
  document().versions[1].state = VersionState::kWithdrawn;
  EXPECT_EQ(Resolve(query), kOld);
  query.session_version.reset();
  EXPECT_EQ(Resolve(query), kOld);
  document().versions[0].state = VersionState::kWithdrawn;
  EXPECT_FALSE(rollouts_.ResolveVersion(query).has_value());
}

TEST_F(RolloutsTest, AlarmStopsNewWorkAtOnceAndProposesWithdrawal) {
  AdvanceTime(seconds(1));
  AddAnswers(kOld, 2000, false);
  AddAnswers(kNew, 30, true);
  const auto proposals = AdvanceTime(seconds(1));
  EXPECT_EQ(ShareOfNewVersion(), 0.0);
  ASSERT_EQ(proposals.size(), 1U);
  EXPECT_EQ(proposals[0].kind, RolloutProposal::Kind::kWithdraw);
  const auto changed = ApplyProposal(document(), proposals[0]);
  ASSERT_TRUE(changed.has_value());
  EXPECT_EQ(changed->versions[1].state, VersionState::kWithdrawn);
  EXPECT_TRUE(changed->versions[1].bad);
  EXPECT_EQ(changed->rollouts[0].state, RolloutRule::State::kHeld);
}

TEST_F(RolloutsTest, ProposalDoesNotApplyToANewerDocument) {
  RolloutProposal proposal;
  proposal.kind = RolloutProposal::Kind::kAdvance;
  proposal.rollout = RolloutId("rollout");
  proposal.generation = 1;
  EXPECT_TRUE(ApplyProposal(document(), proposal).has_value());
  document().generation = 2;
  EXPECT_FALSE(ApplyProposal(document(), proposal).has_value());
}

TEST_F(RolloutsTest, ResumesAtTheSameStepWhenTheDocumentLiftsTheAlarm) {
  rollout().step = 1;
  AdvanceTime(seconds(1));
  AddAnswers(kOld, 2000, false);
  AddAnswers(kNew, 30, true);
  AdvanceTime(seconds(1));
  rollout().state = RolloutRule::State::kHeld;
  document().generation = 2;
  AdvanceTime(seconds(1));
  EXPECT_EQ(ShareOfNewVersion(), 0.0);
  rollout().state = RolloutRule::State::kRunning;
  document().generation = 3;
  EXPECT_TRUE(AdvanceTime(seconds(1)).empty());
  EXPECT_NEAR(ShareOfNewVersion(), 0.5, 0.03);
}

TEST_F(RolloutsTest, FailuresOfOneAccountHoldOnlyThatAccount) {
  AdvanceTime(seconds(1));
  AddAnswers(kOld, 3000, false, "a");
  AddAnswers(kOld, 3000, false, "b");
  AddAnswers(kNew, 1500, false, "b");
  AddAnswers(kNew, 14, true, "a");
  const auto proposals = AdvanceTime(seconds(1));
  EXPECT_TRUE(rollouts_.IsHeld(kNew, ClientAccountId("a"), {}));
  EXPECT_FALSE(rollouts_.IsHeld(kNew, ClientAccountId("b"), {}));
  ASSERT_EQ(proposals.size(), 1U);
  EXPECT_EQ(proposals[0].kind, RolloutProposal::Kind::kHold);
}

TEST_F(RolloutsTest, BrokenConnectionsOfBothVersionsRaiseNoAlarm) {
  const auto break_connections = [&](const ModelVersion& version, int count) {
    AnswerEvidence evidence;
    evidence.version = version;
    evidence.failed = true;
    evidence.broken = true;
    for (int i = 0; i < count; ++i) {
      rollouts_.OnAnswer(evidence);
    }
  };
  AddAnswers(kOld, 20000, false);
  AdvanceTime(seconds(1));
  AddAnswers(kOld, 20000, false);
  AddAnswers(kNew, 500, false);
  AdvanceTime(seconds(1));
  break_connections(kOld, 2000);
  break_connections(kNew, 50);
  AdvanceTime(seconds(1));
  EXPECT_FALSE(rollouts_.IsHeld(kNew, {}, {}));
  break_connections(kNew, 200);
  AdvanceTime(seconds(1));
  EXPECT_TRUE(rollouts_.IsHeld(kNew, {}, {}));
}

TEST_F(RolloutsTest, LostFailureDomainRaisesNoAlarmAfterTheRollout) {
  rollout().state = RolloutRule::State::kFinished;
  for (int i = 0; i < 10; ++i) {
    AddAnswers(kNew, 200, false);
    AdvanceTime(seconds(31));
  }
  AnswerEvidence evidence;
  evidence.version = kNew;
  evidence.failed = true;
  evidence.broken = true;
  for (int i = 0; i < 500; ++i) {
    rollouts_.OnAnswer(evidence);
  }
  AdvanceTime(seconds(1));
  EXPECT_FALSE(rollouts_.IsHeld(kNew, {}, {}));
  AddAnswers(kNew, 200, true);
  AdvanceTime(seconds(1));
  EXPECT_TRUE(rollouts_.IsHeld(kNew, {}, {}));
}

TEST_F(RolloutsTest, DoesNotAdvanceWithoutRatings) {
  AdvanceTime(seconds(1));
  AddAnswers(kOld, 5000, false);
  AddAnswers(kNew, 5000, false);
  EXPECT_TRUE(AdvanceTime(seconds(1)).empty());
  EXPECT_NEAR(ShareOfNewVersion(), 0.1, 0.02);
}

}  // namespace
}  // namespace zinniastep
