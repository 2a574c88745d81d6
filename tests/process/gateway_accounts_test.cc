#include <atomic>
#include <chrono>
#include <string>
#include <utility>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "tests/traffic/answer_texts.h"
#include "tests/traffic/gateway_process.h"
#include "tests/traffic/raw_caller.h"

namespace zinniastep::testing {
namespace {

using nlohmann::json;
using std::chrono::seconds;

// Values of the Authorization header: the account's key, a key of no account,
// and none.
constexpr const char* kKeys[] = {"Token key-a", "Token key-b", ""};

// The usual configuration with this list of accounts and a public route,
// "/public/".
auto Configuration(int version, const json& accounts) -> json {
  json entry = GatewayProcess::ConfigurationEntry();
  json& spec = entry["Spec"];
  spec["Version"] = version;
  spec["Tenants"] = accounts;
  json open = spec["Routes"][0];
  open["Name"] = "public";
  open["PathPrefix"] = "/public/";
  open["Public"] = true;
  spec["Routes"].push_back(open);
  return entry;
}

auto Request(const std::string& path, const std::string& key) -> std::string {
  return "POST " + path +
         " HTTP/1.1\r\nHost: x.example\r\nZinniastep-Attempt-Id: a1\r\n" +
         (key.empty() ? "" : "Authorization: " + key + "\r\n") +
         "Content-Length: 1\r\n\r\nx";
}

auto StatusOf(RawCaller& caller,
              const std::string& path,
              const std::string& key) -> int {
  caller.Send(Request(path, key));
  return caller.ReadAnswer(seconds(3)).status;
}

auto Done(const std::string& /*request*/) -> ScriptedAnswer {
  return {Answer("200 OK", "", "done")};
}

// Expects that no key is valid and that public routes are served, on the
// caller's connection and on a new one.
auto ExpectOnlyPublicRoutes(GatewayProcess& gateway,
                            RawCaller& caller,
                            const ScriptedServer& server) -> void {
  const std::size_t before = server.requests().size();
  RawCaller newcomer(gateway.callers());
  for (RawCaller* connection : {&caller, &newcomer}) {
    for (const char* key : kKeys) {
      EXPECT_EQ(StatusOf(*connection, "/once/", key), 401) << key;
      EXPECT_EQ(StatusOf(*connection, "/idem/", key), 401) << key;
    }
  }
  EXPECT_EQ(server.requests().size(), before);
  EXPECT_EQ(StatusOf(newcomer, "/public/", ""), 200);
  EXPECT_EQ(StatusOf(newcomer, "/public/", kKeys[0]), 200);
}

// An empty list of accounts was read like a missing one, which needs no keys.
TEST(GatewayAccountsTest, RemovingTheLastAccountLeavesNoKeyValid) {
  const ScriptedServer server(Done);
  const json accounts = {{{"Name", "a"}, {"ApiKeys", {"key-a"}}}};
  StoreContents contents = GatewayProcess::Contents({server.address()});
  contents.config =
      GatewayProcess::List(json::array({Configuration(1, accounts)}));
  std::atomic<bool> is_changed = false;
  contents.config_changes = [&is_changed] {
    return is_changed ? GatewayProcess::Change(Configuration(2, json::array()))
                      : GatewayProcess::NoChange();
  };
  GatewayProcess gateway(std::move(contents));
  ASSERT_TRUE(gateway.WaitUntilServing());
  RawCaller caller(gateway.callers());
  EXPECT_EQ(StatusOf(caller, "/once/", kKeys[0]), 200);
  EXPECT_EQ(StatusOf(caller, "/once/", kKeys[1]), 401);
  is_changed = true;
  ASSERT_TRUE(
      gateway.WaitForLog("event=configuration_in_force version=2 "
                         "revision=6 routes=4 accounts=0 "
                         "requires_key=yes",
                         seconds(10)));
  ExpectOnlyPublicRoutes(gateway, caller, server);
}

TEST(GatewayAccountsTest, AHostThatStartsWithoutAccountsAcceptsNoKey) {
  const ScriptedServer server(Done);
  StoreContents contents = GatewayProcess::Contents({server.address()});
  contents.config =
      GatewayProcess::List(json::array({Configuration(1, json::array())}));
  GatewayProcess gateway(std::move(contents));
  ASSERT_TRUE(gateway.WaitUntilServing());
  RawCaller caller(gateway.callers());
  ExpectOnlyPublicRoutes(gateway, caller, server);
}

TEST(GatewayAccountsTest, AConfigurationWithoutAListOfAccountsNeedsNoKeys) {
  const ScriptedServer server(Done);
  GatewayProcess gateway(GatewayProcess::Contents({server.address()}));
  ASSERT_TRUE(gateway.WaitUntilServing());
  RawCaller caller(gateway.callers());
  for (const char* key : kKeys) {
    EXPECT_EQ(StatusOf(caller, "/once/", key), 200) << key;
  }
}

}  // namespace
}  // namespace zinniastep::testing
