#include "libzinniastep/gateway/crash_suspects.h"

#include <vector>

#include <gtest/gtest.h>

#include "tests/support/gateway_samples.h"

namespace zinniastep::testing {
namespace {

using std::chrono::milliseconds;

constexpr PromptPartId kFirst = 1;
constexpr PromptPartId kSecond = 2;
constexpr PromptPartId kBad = 9;

// Witnesses of ends that come one after the other.
class Witnesses {
 public:
  // A request that was at a server for 200 ms when it ended.
  auto Add(std::int64_t ended_ms,
           std::uint64_t request,
           std::uint64_t server,
           std::vector<PromptPartId> parts) -> CrashWitness& {
    CrashWitness witness;
    witness.id = list_.size() + 1;
    witness.request = request;
    witness.server = server;
    witness.ended_at = At(ended_ms);
    witness.took = milliseconds(200);
    witness.parts = std::move(parts);
    return list_.emplace_back(witness);
  }

  [[nodiscard]] auto Suspects() const -> std::vector<CrashSuspect> {
    return FindCrashSuspects(At(60000), list_);
  }

 private:
  std::vector<CrashWitness> list_;
};

TEST(CrashSuspects, APartOfThreeRequestsAtThreeEndsIsConvicted) {
  Witnesses witnesses;
  witnesses.Add(1000, 1, 1, {kFirst, 21, kBad}).cleared = 1;
  witnesses.Add(2000, 2, 2, {kFirst, 22, kBad}).cleared = 1;
  EXPECT_TRUE(witnesses.Suspects().empty());
  witnesses.Add(3000, 3, 3, {kFirst, 23, kBad});
  const auto suspects = witnesses.Suspects();
  ASSERT_EQ(suspects.size(), 1U);
  EXPECT_EQ(suspects[0].parts, std::vector{kBad});
  EXPECT_EQ(suspects[0].endings, 3U);
  EXPECT_EQ(suspects[0].last_ended_at, At(3000));
}

// The repeats of one request have new ids and the signature in common.
TEST(CrashSuspects, ARequestThatIsSentAgainAndAgainIsConvictedByItsSignature) {
  Witnesses witnesses;
  for (std::uint64_t send = 1; send <= 3; ++send) {
    EXPECT_TRUE(witnesses.Suspects().empty());
    CrashWitness& witness =
        witnesses.Add(static_cast<std::int64_t>(send) * 1000, (send + 1) / 2,
                      send, {kBad, kFirst, kSecond});
    witness.known = 1U << kMaxWitnessParts | 2U;
    witness.cleared = 4U;
  }
  const auto suspects = witnesses.Suspects();
  ASSERT_EQ(suspects.size(), 1U);
  EXPECT_EQ(suspects[0].parts, (std::vector{kFirst, kBad}));
  EXPECT_TRUE(suspects[0].is_one_request);
}

TEST(CrashSuspects, RequestsBesideOneThatCrashesServersAreNotConvicted) {
  Witnesses witnesses;
  for (std::uint64_t end = 1; end <= 5; ++end) {
    const auto ended_ms = static_cast<std::int64_t>(end) * 1000;
    witnesses.Add(ended_ms, end, end, {kBad, kFirst}).known =
        1U << kMaxWitnessParts;
    witnesses.Add(ended_ms, 50 + end / 2, end, {100 + end / 2, kFirst}).known =
        1U << kMaxWitnessParts;
  }
  const auto suspects = witnesses.Suspects();
  ASSERT_EQ(suspects.size(), 1U);
  EXPECT_EQ(suspects[0].parts, (std::vector{kFirst, kBad}));
}

TEST(CrashSuspects, ARequestAtServersThatEndTogetherIsNotConvicted) {
  Witnesses witnesses;
  for (std::uint64_t send = 1; send <= 3; ++send) {
    witnesses.Add(1000 + static_cast<std::int64_t>(send), 1, send, {kBad})
        .known = 1U << kMaxWitnessParts;
  }
  EXPECT_TRUE(witnesses.Suspects().empty());
}

TEST(CrashSuspects, ARequestBesideAPartThatCrashesServersIsNotConvicted) {
  Witnesses witnesses;
  for (std::uint64_t end = 1; end <= 5; ++end) {
    const auto ended_ms = static_cast<std::int64_t>(end) * 1000;
    witnesses.Add(ended_ms, end, end, {100 + end, kBad}).known =
        1U << kMaxWitnessParts;
    if (end <= 3) {
      witnesses.Add(ended_ms, 77, end, {200, kSecond}).known =
          1U << kMaxWitnessParts;
    }
  }
  const auto suspects = witnesses.Suspects();
  ASSERT_EQ(suspects.size(), 1U);
  EXPECT_EQ(suspects[0].parts, std::vector{kBad});
  EXPECT_FALSE(suspects[0].is_one_request);
}

TEST(CrashSuspects, PartsThatCameOnlyTogetherAreHeldOnlyTogether) {
  Witnesses witnesses;
  witnesses.Add(1000, 1, 1, {kSecond, kBad});
  witnesses.Add(2000, 2, 2, {kBad, kSecond});
  CrashWitness& last = witnesses.Add(3000, 3, 3, {kSecond, kBad});
  EXPECT_EQ(witnesses.Suspects()[0].parts, (std::vector{kSecond, kBad}));
  // An answer to a request with the second part only.
  last.cleared = 1;
  EXPECT_EQ(witnesses.Suspects()[0].parts, std::vector{kBad});
}

TEST(CrashSuspects, ServersThatEndTogetherConvictNothing) {
  Witnesses witnesses;
  for (std::uint64_t server = 1; server <= 40; ++server) {
    witnesses.Add(1000 + static_cast<std::int64_t>(server % 3), server, server,
                  {kFirst, kSecond});
  }
  EXPECT_TRUE(witnesses.Suspects().empty());
}

TEST(CrashSuspects, OneRequestAtSeveralEndsConvictsNothing) {
  Witnesses witnesses;
  for (std::int64_t end = 1; end <= 5; ++end) {
    witnesses.Add(1000 * end, 1, static_cast<std::uint64_t>(end), {kBad});
  }
  EXPECT_TRUE(witnesses.Suspects().empty());
}

TEST(CrashSuspects, OneEndThatSeveralHostsSawCountsOnce) {
  Witnesses witnesses;
  for (std::uint64_t request = 1; request <= 5; ++request) {
    witnesses.Add(1000 + static_cast<std::int64_t>(request) * 15, request, 1,
                  {kBad});
  }
  EXPECT_TRUE(witnesses.Suspects().empty());
}

TEST(CrashSuspects, APartThatWasAnsweredBeforeTakesMoreEvidence) {
  Witnesses witnesses;
  for (std::int64_t end = 1; end <= 3; ++end) {
    const auto number = static_cast<std::uint64_t>(end);
    witnesses.Add(1000 * end, number, number, {kBad}).known = 1;
  }
  EXPECT_TRUE(witnesses.Suspects().empty());
  witnesses.Add(4000, 4, 4, {kBad}).known = 1;
  EXPECT_EQ(witnesses.Suspects().size(), 1U);
}

TEST(CrashSuspects, PartsOfOtherRequestsAtTheSameEndsAreNotConvicted) {
  Witnesses witnesses;
  for (std::int64_t end = 1; end <= 4; ++end) {
    const auto number = static_cast<std::uint64_t>(end);
    witnesses.Add(1000 * end, number, number, {kBad});
    if (end > 1) {
      witnesses.Add(1000 * end, number + 100, number, {kSecond});
    }
  }
  const auto suspects = witnesses.Suspects();
  ASSERT_EQ(suspects.size(), 1U);
  EXPECT_EQ(suspects[0].parts, std::vector{kBad});
}

TEST(CrashSuspects, TwoPartsAreConvictedEach) {
  Witnesses witnesses;
  for (std::int64_t end = 1; end <= 4; ++end) {
    const auto number = static_cast<std::uint64_t>(end);
    witnesses.Add(1000 * end, number, number, {kBad});
    witnesses.Add(1000 * end + 500, number + 100, number + 100, {kSecond});
  }
  EXPECT_EQ(witnesses.Suspects().size(), 2U);
}

}  // namespace
}  // namespace zinniastep::testing
