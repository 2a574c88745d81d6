#include "libzinniastep/traffic/operator_page.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "libzinniastep/gateway/operator_proof.h"
#include "platform/caller_calls.h"

namespace zinniastep::testing {
namespace {

namespace http = boost::beast::http;

constexpr std::int64_t kNow = 1800000000;

// An engine that holds the parts 1 and 9.
class OperatorPageTest : public ::testing::Test {
 protected:
  OperatorPageTest()
      : engine_(
            io_,
            GatewaySettings(),
            platform::Headers(),
            metrics_,
            [](const LogEvent&) {},
            1),
        page_(engine_, metrics_, {"key"}) {
    CrashReport report;
    for (std::uint64_t end = 1; end <= 3; ++end) {
      report.rows.push_back(
          {end, end, end, 4000000 - end * 1000000, 200000, {1, 9}, 0, 0});
    }
    engine_.OnCrashReport(report);
    (void)engine_.TakeCrashNews();
  }

  auto Call(http::verb method,
            const std::string& path,
            const std::string& proof = "") -> WholeAnswer {
    CallerRequest request(method, path, 11);
    request.set(http::field::authorization, proof);
    return page_.Answer(request, kNow);
  }

  boost::asio::io_context io_;
  Metrics metrics_;
  TrafficEngine engine_;
  OperatorPage page_;
};

TEST_F(OperatorPageTest, ListsHeldParts) {
  const auto list = nlohmann::json::parse(
      Call(http::verb::get, "/held-parts").body())["held"];
  ASSERT_EQ(list.size(), 1U);
  EXPECT_EQ(list[0]["parts"], nlohmann::json({"1", "9"}));
  EXPECT_EQ(list[0]["endings"], 3);
  EXPECT_NE(Call(http::verb::get, "/").body().find("zinniastep_held_parts 1"),
            std::string::npos);
}

TEST_F(OperatorPageTest, ReleasesWithAProofOnly) {
  const std::string path = "/held-parts/9";
  EXPECT_EQ(Call(http::verb::delete_, path).result(),
            http::status::unauthorized);
  EXPECT_EQ(Call(http::verb::delete_, path,
                 OperatorProof("other", "DELETE", path, kNow))
                .result(),
            http::status::unauthorized);
  EXPECT_EQ(engine_.quarantine().held().size(), 1U);
  const std::string proof = OperatorProof("key", "DELETE", path, kNow);
  EXPECT_EQ(Call(http::verb::delete_, path, proof).result(),
            http::status::no_content);
  EXPECT_TRUE(engine_.quarantine().held().empty());
  EXPECT_EQ(Call(http::verb::delete_, path, proof).result(),
            http::status::not_found);
  EXPECT_EQ(Call(http::verb::delete_, "/", proof).result(),
            http::status::not_found);
}

}  // namespace
}  // namespace zinniastep::testing
