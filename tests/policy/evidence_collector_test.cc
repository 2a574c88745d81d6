#include "libzinniastep/rollout/evidence_collector.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "libzinniastep/wire/codec.h"

namespace zinniastep {
namespace {

const EvidenceScope kScope{{"model", "1"}, {}, {}};

auto MakeReport(std::uint64_t revision, int answers) -> EvidenceReport {
  EvidenceReport report;
  report.model = "model";
  report.revision = revision;
  EvidenceRow row;
  row.scope = kScope;
  for (int i = 0; i < answers; ++i) {
    row.sums.errors.Observe(0.0);
  }
  report.rows.push_back(row);
  return report;
}

TEST(EvidenceCollectorTest, ReorderedAndDuplicateReportsGiveTheSameTotal) {
  struct Sent {
    Incarnation from;
    EvidenceReport report;
  };
  std::vector<Sent> sent;
  for (Incarnation host = 1; host <= 4; ++host) {
    for (std::uint64_t revision = 1; revision <= 3; ++revision) {
      const int answers = static_cast<int>(10 * host * revision);
      sent.push_back({host, MakeReport(revision, answers)});
      sent.push_back(sent.back());
    }
  }
  std::mt19937 random(7);
  for (int round = 0; round < 50; ++round) {
    std::shuffle(sent.begin(), sent.end(), random);
    EvidenceCollector collector;
    for (const Sent& message : sent) {
      (void)collector.Collect(Instant(), message.from, message.report);
    }
    const EvidenceTotals totals = collector.TotalsWithout(99, "model");
    ASSERT_EQ(totals.rows.size(), 1U);
    EXPECT_DOUBLE_EQ(totals.rows[0].sums.errors.count(), 30 + 60 + 90 + 120);
  }
}

TEST(EvidenceCollectorTest, ReturnsTheSumsOfAllOtherHosts) {
  EvidenceCollector collector;
  (void)collector.Collect(Instant(), 1, MakeReport(1, 10));
  const EvidenceTotals totals =
      collector.Collect(Instant(), 2, MakeReport(1, 5));
  EXPECT_DOUBLE_EQ(totals.rows[0].sums.errors.count(), 10.0);
  EXPECT_EQ(totals.revision, 1U);
}

TEST(EvidenceReportTest, EncodingPreservesCountsAndStaysSmall) {
  EvidenceReport report = MakeReport(3, 0);
  for (int i = 0; i < 1000; ++i) {
    report.rows[0].sums.errors.Observe(i % 50 == 0 ? 1.0 : 0.0);
    report.rows[0].sums.poor_ratings.Observe(0.13);
  }
  const Codec codec({"key"});
  const std::string bytes = codec.Encode(Envelope{
      HostId("a"), 7, "127.0.0.1:9000", PeerMessage(EvidenceMessage(report))});
  EXPECT_LT(bytes.size(), 200U);
  const auto decoded = codec.Decode(bytes);
  ASSERT_TRUE(decoded.ok());
  const auto& message = std::get<EvidenceMessage>(decoded->message);
  const EvidenceSums& sums = std::get<EvidenceReport>(message).rows[0].sums;
  EXPECT_NEAR(sums.errors.sum(), 20.0, 1e-3);
  EXPECT_NEAR(sums.errors.count(), 1000.0, 1e-3);
  EXPECT_NEAR(sums.poor_ratings.mean(), 0.13, 1e-6);
  EXPECT_EQ(sums.first_token.count(), 0.0);
}

TEST(EvidenceCollectorTest, RemovesHostsWithoutRecentReports) {
  EvidenceCollector collector;
  (void)collector.Collect(Instant(), 1, MakeReport(1, 10));
  collector.OnTime(Instant() + std::chrono::hours(2));
  EXPECT_EQ(collector.size(), 0U);
  const EvidenceTotals totals = collector.TotalsWithout(99, "model");
  EXPECT_DOUBLE_EQ(totals.rows[0].sums.errors.count(), 0.0);
}

}  // namespace
}  // namespace zinniastep
