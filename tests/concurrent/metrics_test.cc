#include "libzinniastep/runtime/metrics.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "tests/process/exposition_page.h"

namespace zinniastep {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using testing::ExpositionPage;

constexpr unsigned kLongestTestSeconds = 60;

// A text that never comes ends the program.
class MetricsTest : public ::testing::Test {
 protected:
  auto SetUp() -> void override { alarm(kLongestTestSeconds); }
  auto TearDown() -> void override { alarm(0); }

  auto Text() const -> std::string {
    return ExpositionText(metrics_.Snapshot());
  }

  Metrics metrics_;
};

TEST_F(MetricsTest, TextComesThoughHistogramHasEmptyBuckets) {
  metrics_.Observe("request", milliseconds(20));
  EXPECT_NE(Text().find("zinniastep_request_seconds_count 1\n"),
            std::string::npos);
}

TEST_F(MetricsTest, NoMetricsGiveEmptyText) {
  EXPECT_EQ(Text(), "");
}

TEST_F(MetricsTest, LargeCountersAreExact) {
  metrics_.Count("calls", 18'446'744'073'709'551'614U);
  metrics_.Count("calls");
  metrics_.Count("answers_overlong");
  EXPECT_EQ(Text(),
            "# TYPE zinniastep_answers_overlong counter\n"
            "zinniastep_answers_overlong 1\n"
            "# TYPE zinniastep_calls counter\n"
            "zinniastep_calls 18446744073709551615\n");
}

TEST_F(MetricsTest, HistogramTextHasEveryBucket) {
  metrics_.Observe("wait", microseconds(-5));
  metrics_.Observe("wait", microseconds(0));
  metrics_.Observe("wait", microseconds(100));
  metrics_.Observe("wait", microseconds(101));
  metrics_.Observe("wait", std::chrono::seconds(100));
  metrics_.Observe("wait", std::chrono::hours(48));
  const std::string text = Text();
  const std::string first =
      "# TYPE zinniastep_wait_seconds histogram\n"
      "zinniastep_wait_seconds_bucket{le=\"0.0001\"} 3\n"
      "zinniastep_wait_seconds_bucket{le=\"0.000125\"} 4\n"
      "zinniastep_wait_seconds_bucket{le=\"0.00016\"} 4\n";
  const std::string last =
      "zinniastep_wait_seconds_bucket{le=\"80\"} 4\n"
      "zinniastep_wait_seconds_bucket{le=\"100\"} 5\n"
      "zinniastep_wait_seconds_bucket{le=\"+Inf\"} 6\n"
      "zinniastep_wait_seconds_sum 172900.000201\n"
      "zinniastep_wait_seconds_count 6\n";
  EXPECT_EQ(text.substr(0, first.size()), first);
  ASSERT_GT(text.size(), last.size());
  EXPECT_EQ(text.substr(text.size() - last.size()), last);
  const ExpositionPage page(text);
  EXPECT_EQ(page.findings(), std::vector<std::string>());
  EXPECT_EQ(page.Value("zinniastep_wait_seconds_bucket{le=\"1\"}"), 4U);
}

TEST_F(MetricsTest, NamesThatBecomeEqualAreOneMetric) {
  metrics_.Count("refused_a-b\n");
  metrics_.Count("refused_a b\"", 2);
  metrics_.Count("refused_a_b_", 4);
  EXPECT_EQ(Text(),
            "# TYPE zinniastep_refused_a_b_ counter\n"
            "zinniastep_refused_a_b_ 7\n");
}

TEST_F(MetricsTest, ScrapesBesideWritersAreConsistentAndNothingIsLost) {
  constexpr int kWriters = 4;
  constexpr int kWrites = 20000;
  constexpr int kScrapes = 50;
  std::atomic<int> writing = kWriters;
  std::vector<std::thread> writers;
  writers.reserve(kWriters);
  for (int writer = 0; writer < kWriters; ++writer) {
    writers.emplace_back([this, &writing, writer] {
      for (int i = 0; i < kWrites; ++i) {
        metrics_.Count("requests");
        metrics_.Count("writes_" + std::to_string(writer));
        metrics_.Observe("request", microseconds(i * 37));
      }
      --writing;
    });
  }
  for (int scrape = 0; scrape < kScrapes || writing > 0; ++scrape) {
    EXPECT_EQ(ExpositionPage(Text()).findings(), std::vector<std::string>());
  }
  for (std::thread& writer : writers) {
    writer.join();
  }
  const ExpositionPage page(Text());
  EXPECT_EQ(page.Value("zinniastep_requests"), kWriters * kWrites);
  EXPECT_EQ(page.Value("zinniastep_request_seconds_count"), kWriters * kWrites);
}

TEST_F(MetricsTest, TextIsMadeFromACopyThatWritersDoNotChange) {
  metrics_.Count("requests");
  const MetricsSnapshot before = metrics_.Snapshot();
  metrics_.Count("requests");
  metrics_.Observe("request", milliseconds(1));
  EXPECT_EQ(ExpositionText(before),
            "# TYPE zinniastep_requests counter\nzinniastep_requests 1\n");
}

TEST(TimeHistogramTest, BoundsAscendAndEachBelongsToItsBucket) {
  const auto bounds = TimeHistogram::Bounds();
  ASSERT_EQ(bounds.size(), 61U);
  EXPECT_EQ(bounds.front(), microseconds(100));
  EXPECT_EQ(bounds.back(), std::chrono::seconds(100));
  for (std::size_t i = 0; i < bounds.size(); ++i) {
    if (i > 0) {
      EXPECT_LT(bounds[i - 1], bounds[i]);
    }
    TimeHistogram histogram;
    histogram.Add(bounds[i]);
    histogram.Add(bounds[i] + microseconds(1));
    EXPECT_EQ(histogram.buckets()[i], 1U);
    EXPECT_EQ(histogram.buckets()[i + 1], 1U);
  }
}

TEST(ExpositionPageTest, FindsWhatACollectorWouldReject) {
  const auto finds = [](const std::string& text) {
    return !ExpositionPage(text).findings().empty();
  };
  const std::string type = "# TYPE a_seconds histogram\n";
  const std::string good = type +
                           "a_seconds_bucket{le=\"1\"} 1\n"
                           "a_seconds_bucket{le=\"+Inf\"} 2\n"
                           "a_seconds_sum 3.5\na_seconds_count 2\n";
  EXPECT_FALSE(finds(good));
  EXPECT_TRUE(finds("a 1\n"));                         // no type
  EXPECT_TRUE(finds("# TYPE a counter\na 1"));         // no newline
  EXPECT_TRUE(finds("# TYPE a counter\na 1e+06\n"));   // not exact
  EXPECT_TRUE(finds("# TYPE a counter\na 1\na 1\n"));  // twice
  EXPECT_TRUE(finds("# TYPE a counter\n# TYPE a counter\na 1\n"));
  EXPECT_TRUE(finds("# TYPE 1-a counter\n1-a 1\n"));
  EXPECT_TRUE(finds(type + "a_seconds_bucket{le=\"inf\"} 2\n"
                           "a_seconds_sum 3.5\na_seconds_count 2\n"));
  EXPECT_TRUE(finds(type + "a_seconds_bucket{le=\"1\"} 3\n"
                           "a_seconds_bucket{le=\"+Inf\"} 2\n"
                           "a_seconds_sum 3.5\na_seconds_count 2\n"));
  EXPECT_TRUE(finds(type + "a_seconds_bucket{le=\"+Inf\"} 1\n"
                           "a_seconds_sum 3.5\na_seconds_count 2\n"));
  EXPECT_TRUE(finds(type + "a_seconds_bucket{le=\"2\"} 1\n"
                           "a_seconds_bucket{le=\"1\"} 1\n"
                           "a_seconds_bucket{le=\"+Inf\"} 2\n"
                           "a_seconds_sum 3.5\na_seconds_count 2\n"));
}

}  // namespace
}  // namespace zinniastep
