#include "libzinniastep/gateway/part_quarantine.h"

#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "tests/support/gateway_samples.h"

namespace zinniastep::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const std::vector<PromptPartId> kParts = {1, 2, 9};

// Reports that a server ended under a request with the parts.
auto End(PartQuarantine& quarantine,
         Instant now,
         std::uint64_t number,
         const std::vector<PromptPartId>& parts = kParts) -> void {
  const std::vector<UnansweredSend> sends = {
      {number, parts, now - milliseconds(200), now}};
  quarantine.OnEnding(now, BackendServerId("s" + std::to_string(number)),
                      sends);
}

// Reports three ends, the last one at three seconds.
auto HoldParts(PartQuarantine& quarantine) -> void {
  for (std::uint64_t end = 1; end <= 3; ++end) {
    End(quarantine, At(static_cast<std::int64_t>(end) * 1000), end);
  }
}

auto IsRefused(PartQuarantine& quarantine,
               Instant now,
               const std::vector<PromptPartId>& parts = kParts) -> bool {
  return std::holds_alternative<PartsHeld>(quarantine.Admit(now, parts));
}

// Asks each tenth of a second until a trial begins, or gives up.
auto WaitForTrial(PartQuarantine& quarantine, Instant from, Duration most)
    -> std::optional<Instant> {
  for (Instant now = from; now < from + most; now += milliseconds(100)) {
    quarantine.Update(now);
    if (std::holds_alternative<PartsOnTrial>(quarantine.Admit(now, kParts))) {
      return now;
    }
  }
  return std::nullopt;
}

TEST(PartQuarantine, RefusesRequestsWithAllOfTheHeldParts) {
  PartQuarantine quarantine(1);
  HoldParts(quarantine);
  EXPECT_TRUE(IsRefused(quarantine, At(3100)));
  EXPECT_TRUE(IsRefused(quarantine, At(3100), {9, 7, 2, 1}));
  EXPECT_FALSE(IsRefused(quarantine, At(3100), {1, 2}));
  quarantine.OnAnswered(At(3200), std::vector<PromptPartId>{1, 2});
  quarantine.Update(At(3200));
  EXPECT_TRUE(IsRefused(quarantine, At(3300), {9, 7}));
}

// Reports that a server ended under a repeat of one request.
auto EndOneRequest(PartQuarantine& quarantine, std::uint64_t number) -> void {
  const Instant now = At(static_cast<std::int64_t>(number) * 1000);
  const std::vector<UnansweredSend> sends = {
      {number, {1, 2}, now - milliseconds(200), now, 70}};
  quarantine.OnEnding(now, BackendServerId("s" + std::to_string(number)),
                      sends);
}

TEST(PartQuarantine, RepeatsOfARequestThatEndedThreeServersAreRefused) {
  PartQuarantine quarantine(1);
  for (std::uint64_t end = 1; end <= 3; ++end) {
    quarantine.OnAnswered(At(static_cast<std::int64_t>(end) * 1000 + 100),
                          std::vector<PromptPartId>{1, 2});
    EXPECT_FALSE(IsRefused(quarantine, At(3000), {70, 1, 2}));
    EndOneRequest(quarantine, end);
  }
  EXPECT_TRUE(IsRefused(quarantine, At(3100), {70, 1, 2}));
  EXPECT_FALSE(IsRefused(quarantine, At(3100), {71, 1, 2}));
  EXPECT_FALSE(IsRefused(quarantine, At(3100), {1, 2}));
  // A trial costs a server and helps nobody else.
  quarantine.Update(At(32'000));
  EXPECT_TRUE(IsRefused(quarantine, At(32'000), {70, 1, 2}));
  EXPECT_FALSE(IsRefused(quarantine, At(34'000), {70, 1, 2}));
}

TEST(PartQuarantine, AHostThatHearsOfTheEndsRefusesTheRequestToo) {
  PartQuarantine here(1);
  PartQuarantine there(2);
  EndOneRequest(here, 1);
  EndOneRequest(there, 2);
  EndOneRequest(there, 3);
  const auto news = there.TakeNews(At(3100));
  ASSERT_TRUE(news.has_value());
  here.Merge(At(3100), *news);
  here.Update(At(3100));
  EXPECT_TRUE(IsRefused(here, At(3200), {70, 1, 2}));
}

TEST(PartQuarantine, AnAnswerToOneOfItsRepeatsReleasesARequest) {
  PartQuarantine quarantine(1);
  for (std::uint64_t end = 1; end <= 3; ++end) {
    EndOneRequest(quarantine, end);
  }
  quarantine.OnRequestAnswered(At(3100), 70);
  quarantine.OnAnswered(At(3100), std::vector<PromptPartId>{1, 2});
  quarantine.Update(At(3100));
  EXPECT_FALSE(IsRefused(quarantine, At(3200), {70, 1, 2}));
}

TEST(PartQuarantine, AnAnsweredTrialReleasesTheParts) {
  PartQuarantine quarantine(1);
  HoldParts(quarantine);
  const auto trial = WaitForTrial(quarantine, At(3100), seconds(20));
  ASSERT_TRUE(trial.has_value());
  EXPECT_GE(*trial, At(3000) + seconds(4));
  EXPECT_TRUE(IsRefused(quarantine, *trial + milliseconds(10)));
  quarantine.OnAnswered(*trial + milliseconds(300), kParts);
  quarantine.Update(*trial + milliseconds(300));
  EXPECT_FALSE(IsRefused(quarantine, *trial + milliseconds(400)));
  EXPECT_TRUE(quarantine.held().empty());
}

TEST(PartQuarantine, APartThatStillEndsServersGetsThreeMoreRequestsAtMost) {
  PartQuarantine quarantine(1);
  HoldParts(quarantine);
  End(quarantine, At(3500), 4);
  End(quarantine, At(3600), 5);
  std::uint64_t trials = 0;
  Instant now = At(3700);
  while (const auto trial = WaitForTrial(quarantine, now, minutes(50))) {
    ++trials;
    now = *trial + milliseconds(200);
    End(quarantine, now, 100 + trials);
    ASSERT_LT(trials, 10U);
  }
  EXPECT_GE(trials, 1U);
  EXPECT_LE(trials, 3U);
}

TEST(PartQuarantine, PeersComeToTheSameResult) {
  PartQuarantine first(1);
  PartQuarantine second(2);
  HoldParts(first);
  const auto news = first.TakeNews(At(3100));
  ASSERT_TRUE(news.has_value());
  EXPECT_FALSE(first.TakeNews(At(3100)).has_value());
  second.Merge(At(3120), *news);
  second.Update(At(3120));
  EXPECT_TRUE(IsRefused(second, At(3130)));
  // An answer at one host clears the parts at the other one.
  second.OnAnswered(At(4000), kParts);
  second.Update(At(4000));
  first.Merge(At(4020), *second.TakeNews(At(4000)));
  first.Update(At(4020));
  EXPECT_FALSE(IsRefused(first, At(4030)));
}

TEST(PartQuarantine, ASendThatWasLeftJustBeforeTheEndCounts) {
  PartQuarantine quarantine(1);
  for (std::uint64_t end = 1; end <= 3; ++end) {
    const Instant now = At(static_cast<std::int64_t>(end) * 2000);
    const BackendServerId server("s" + std::to_string(end));
    quarantine.OnLeft(
        server, {end, kParts, now - milliseconds(500), now - milliseconds(60)});
    quarantine.OnLeft(
        server,
        {end + 10, {1, 5}, now - milliseconds(5000), now - milliseconds(1100)});
    quarantine.OnEnding(now, server, {});
  }
  EXPECT_TRUE(quarantine.IsHeld(kParts));
  EXPECT_EQ(quarantine.witness_count(), 3U);
}

TEST(PartQuarantine, AHostThatStartedMeanwhileLearnsFromASummary) {
  PartQuarantine first(1);
  HoldParts(first);
  EXPECT_TRUE(IsRefused(first, At(3100)));
  PartQuarantine started(2);
  started.Merge(At(30000), *first.Summary(At(30000)));
  started.Update(At(30000));
  EXPECT_TRUE(started.IsHeld(kParts));
}

TEST(PartQuarantine, ATrialOfAPeerIsNotRepeatedAtOnce) {
  PartQuarantine first(1);
  PartQuarantine second(2);
  HoldParts(first);
  second.Merge(At(3100), *first.TakeNews(At(3100)));
  second.Update(At(3100));
  const auto trial = WaitForTrial(first, At(3100), seconds(20));
  ASSERT_TRUE(trial.has_value());
  second.Merge(*trial, *first.TakeNews(*trial));
  EXPECT_FALSE(WaitForTrial(second, *trial, seconds(5)).has_value());
}

TEST(PartQuarantine, AnOperatorReleasesParts) {
  PartQuarantine quarantine(1);
  HoldParts(quarantine);
  EXPECT_FALSE(quarantine.Release(At(3100), 7));
  EXPECT_TRUE(quarantine.Release(At(3100), 9));
  EXPECT_FALSE(IsRefused(quarantine, At(3200)));
  EXPECT_TRUE(quarantine.TakeNews(At(3200)).has_value());
}

TEST(PartQuarantine, ForgetsPartsThatNobodyAsksFor) {
  PartQuarantine quarantine(1);
  HoldParts(quarantine);
  quarantine.Update(At(3000) + minutes(11));
  EXPECT_TRUE(quarantine.held().empty());
  EXPECT_EQ(quarantine.witness_count(), 0U);
}

TEST(PartQuarantine, HoldsPartsForAnHourWhileRequestsCome) {
  PartQuarantine quarantine(1);
  HoldParts(quarantine);
  EXPECT_TRUE(IsRefused(quarantine, At(3100)));
  quarantine.Update(At(3000) + minutes(11));
  EXPECT_FALSE(quarantine.held().empty());
  quarantine.Update(At(3000) + minutes(61));
  EXPECT_TRUE(quarantine.held().empty());
}

TEST(PartQuarantine, TablesAreBounded) {
  PartQuarantine quarantine(1);
  for (std::uint64_t end = 1; end <= 3000; ++end) {
    End(quarantine, At(static_cast<std::int64_t>(end)), end,
        {end * 2, end * 2 + 1});
  }
  EXPECT_LE(quarantine.witness_count(), 512U);
}

// More witnesses than a table holds, all of them cleared.
TEST(PartQuarantine, NewsOfManyEndsComeToAnEnd) {
  std::vector<PartQuarantine> hosts;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    hosts.emplace_back(seed);
  }
  for (std::uint64_t end = 1; end <= 1600; ++end) {
    const std::vector<PromptPartId> parts = {end * 2, end * 2 + 1};
    const Instant now = At(static_cast<std::int64_t>(end));
    End(hosts[end % 4], now, end, parts);
    for (PartQuarantine& host : hosts) {
      host.OnAnswered(now + milliseconds(1), parts);
    }
  }
  int rounds = 0;
  bool has_news = true;
  for (Instant now = At(2000); has_news; now += milliseconds(100)) {
    ASSERT_LT(++rounds, 60);
    has_news = false;
    for (std::size_t from = 0; from < hosts.size(); ++from) {
      const auto news = hosts[from].TakeNews(now);
      has_news = has_news || news.has_value();
      for (std::size_t to = 0; news.has_value() && to < hosts.size(); ++to) {
        if (to != from) {
          hosts[to].Merge(now, *news);
        }
      }
    }
  }
}

TEST(PartQuarantine, IgnoresRowsThatNoHostSends) {
  PartQuarantine quarantine(1);
  CrashReport report;
  CrashRow row;
  row.id = 1;
  report.rows.push_back(row);
  row.id = 2;
  row.parts.assign(1000, 9);
  report.rows.push_back(row);
  row.id = 3;
  row.parts = {9};
  row.age_us = ~std::uint64_t{0};
  report.rows.push_back(row);
  row.id = 4;
  row.age_us = 1000;
  row.took_us = ~std::uint64_t{0};
  report.rows.push_back(row);
  report.trials.push_back({9, 1, ~std::uint64_t{0}});
  quarantine.Merge(At(5000), report);
  EXPECT_EQ(quarantine.witness_count(), 0U);
  EXPECT_FALSE(quarantine.TakeNews(At(5000)).has_value());
}

TEST(AnsweredParts, DropsThoseOfLongAgo) {
  AnsweredParts answered;
  for (PromptPartId part = 1; part <= 20000; ++part) {
    const std::vector<PromptPartId> parts = {part};
    answered.Record(At(static_cast<std::int64_t>(part)), parts);
    EXPECT_LE(answered.size(), 4097U);
  }
  EXPECT_FALSE(answered.Find(1).has_value());
  EXPECT_EQ(answered.Find(20000), At(20000));
}

}  // namespace
}  // namespace zinniastep::testing
