#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "tests/process/http_client.h"
#include "tests/process/standin_process.h"

namespace zinniastep::testing {
namespace {

using nlohmann::json;
using std::chrono::seconds;

// What one run of the operators' tool printed, and its exit code.
struct CtlResult {
  int code = -1;
  std::vector<std::string> lines;
};

auto Example(const std::string& name) -> json {
  std::ifstream file(std::string(ZINNIASTEP_SOURCE_DIR) + "/examples/" + name);
  return json::parse(std::string(std::istreambuf_iterator<char>(file), {}));
}

auto GenerationIn(const std::string& file) -> int {
  std::ifstream stream(file);
  return json::parse(std::string(std::istreambuf_iterator<char>(stream), {}))
      .value("generation", 0);
}

class ZinniastepctlTest : public ::testing::Test {
 protected:
  auto Run(std::vector<std::string> arguments) -> CtlResult {
    const std::string url = standin_.Url("");
    const std::string address = url.substr(std::string("http://").size());
    arguments.push_back("--store=" + address.substr(0, address.find('/')));
    ChildProcess process("zinniastepctl", arguments);
    CtlResult result;
    while (auto line = process.ReadLine(seconds(30))) {
      result.lines.push_back(*line);
    }
    result.code = process.Wait(seconds(30)).value_or(-1);
    return result;
  }

  auto Stored() -> json {
    return Exchange("GET", standin_.Url("/objects/config/coopline")).json();
  }

  StandinProcess standin_{
      json{{"versions", json::array()}, {"servers", json::array()}}};
};

TEST_F(ZinniastepctlTest, ShowsItsVersion) {
  ChildProcess process("zinniastepctl", {"--version"});
  EXPECT_EQ(process.ReadLine(seconds(30)).value_or(""),
            "zinniastepctl " ZINNIASTEP_VERSION);
  EXPECT_EQ(process.Wait(seconds(30)).value_or(-1), 0);
}

TEST_F(ZinniastepctlTest, ChecksAppliesAndMeetsAnotherOperator) {
  ASSERT_TRUE(standin_.ready());
  json document = Example("coopline.json");
  const auto mine = WriteTestFile("ctl-mine.json", document);
  document["accounts"][0]["share"] = 9.0;
  const auto other = WriteTestFile("ctl-other.json", document);
  document["versions"][0]["colour"] = "brown";
  document["accounts"][0]["share"] = -1;
  const auto bad = WriteTestFile("ctl-bad.json", document);

  const auto findings = Run({"check", bad});
  EXPECT_EQ(findings.code, 1);
  EXPECT_EQ(findings.lines.size(), 2U);
  EXPECT_EQ(Run({"apply", bad}).code, 1);

  EXPECT_EQ(Run({"apply", mine}).code, 0);
  EXPECT_EQ(Run({"apply", mine}).code, 0) << "unchanged";
  EXPECT_EQ(Stored()["generation"], 1);
  EXPECT_EQ(Run({"apply", other}).code, 0);
  EXPECT_EQ(Stored()["generation"], 2);
  EXPECT_EQ(GenerationIn(other), 2);
  const auto late = Run({"apply", mine});
  EXPECT_EQ(late.code, 3);
  ASSERT_FALSE(late.lines.empty());
  EXPECT_EQ(late.lines.back(), "  replace /accounts/0/share");
  EXPECT_EQ(Stored()["accounts"][0]["share"], 9.0);
}

TEST_F(ZinniastepctlTest, EditsObjectsAndShowsTheirStatus) {
  const auto document =
      WriteTestFile("ctl-document.json", Example("coopline.json"));
  const auto domains =
      WriteTestFile("ctl-domains.json", Example("domains.json"));
  const auto roster =
      WriteTestFile("ctl-roster.json", Example("servers-perth-a.json"));
  for (const auto& file : {document, domains, roster}) {
    EXPECT_EQ(Run({"apply", file}).code, 0);
  }
  EXPECT_EQ(Run({"withdraw", "hen-medium@v3", "--bad"}).code, 0);
  EXPECT_EQ(Stored()["versions"][2]["state"], "withdrawn");
  EXPECT_EQ(Stored()["rollouts"][0]["state"], "held");
  EXPECT_EQ(Run({"resume", "medium-v3"}).code, 0);
  EXPECT_EQ(Stored()["rollouts"][0]["state"], "running");
  EXPECT_EQ(Run({"withdraw", "hen-medium@v9"}).code, 1);
  EXPECT_EQ(Run({"domain", "out", "perth-a"}).code, 0);
  EXPECT_EQ(Run({"server", "leave", "perth-a", "perth-a-engine-1"}).code, 0);
  const auto status = Run({"status", "--json"});
  EXPECT_EQ(status.code, 0);
  ASSERT_EQ(status.lines.size(), 3U);
  EXPECT_EQ(json::parse(status.lines[0]).value("accepted", 0), 3);
  EXPECT_EQ(Run({"report", "--json"}).code, 0);
}

TEST_F(ZinniastepctlTest, SaysWhatWentWrongByItsExitCode) {
  EXPECT_EQ(Run({"paint"}).code, 2);
  EXPECT_EQ(Run({"drain"}).code, 2) << "needs a host";
  EXPECT_EQ(Run({"drain", "--host=127.0.0.1:1"}).code, 4);
  EXPECT_EQ(Run({"show", "config/nobody"}).code, 1);
}

}  // namespace
}  // namespace zinniastep::testing
