#include "platform/record_reader.h"

#include <string>

#include <gtest/gtest.h>

#include "platform/caller_calls.h"

namespace zinniastep::platform {
namespace {

auto Record(const std::string& spec, const std::string& status = "null")
    -> StoredRecord {
  return {"i-1", 7,
          R"({"Metadata":{"Name":"i-1","Revision":7,"Created":5},"Spec":)" +
              spec + R"(,"Status":)" + status + "}"};
}

constexpr char kServer[] =
    R"({"Service":"p","Address":"10.0.0.1:80","Zone":"z","Version":"v1",)"
    R"("Slots":64,"State":"draining","ColdLeftMs":1500,"Seq":4,"born":99})";

TEST(RecordReader, ReadsABackendServer) {
  const auto entry = ReadBackend(Record(kServer));
  ASSERT_TRUE(entry.ok()) << entry.status();
  EXPECT_EQ(entry->id, BackendServerId("i-1"));
  EXPECT_EQ(entry->service, ServiceId("p"));
  EXPECT_TRUE(entry->draining);
  EXPECT_EQ(entry->cold_left, std::chrono::milliseconds(1500));
  EXPECT_EQ(entry->started, 99U);
  EXPECT_EQ(entry->sequence, 4U);
}

TEST(RecordReader, EntriesOfOtherWritersNameNoServer) {
  const std::string good = kServer;
  const auto with = [&good](const std::string& from, const std::string& to) {
    std::string changed = good;
    changed.replace(changed.find(from), from.size(), to);
    return Record(changed);
  };
  EXPECT_FALSE(ReadBackend(with(R"("draining")", R"("resting")")).ok());
  EXPECT_FALSE(ReadBackend(with(R"("Seq":4)", R"("Seq":"4")")).ok());
  EXPECT_FALSE(ReadBackend(with(R"("Zone")", R"("Zune")")).ok());
  EXPECT_FALSE(ReadBackend(with("99", "null")).ok());
  EXPECT_FALSE(ReadBackend(Record("[]")).ok());
  EXPECT_FALSE(ReadBackend({"i-1", 7, "not json"}).ok());
}

TEST(RecordReader, ReadsAConfiguration) {
  const auto policy = ReadPolicy(Record(
      R"({"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/a/",)"
      R"("Kind":"streaming","TimeoutMs":20000,"TargetLatencyMs":4000,)"
      R"("Priority":0,"Sizes":["s","l"],"TrafficSplit":[{"Service":"p",)"
      R"("Weight":90},{"Service":"q","Weight":10}],"Attempts":3,)"
      R"("Public":false,"Resumable":true,"AllowedRegions":["n"]},)"
      R"({"Name":"t","Host":"h","PathPrefix":"/b/","Kind":"non_idempotent",)"
      R"("TimeoutMs":1000,"Service":"q"}],)"
      R"("Services":[{"Name":"p","ColdPerS":10.0,"Engine":{"KvCapacity":9}}],)"
      R"("Limits":{"MaxBodyBytes":99},)"
      R"("Tenants":[{"Name":"f","ApiKeys":["k"],"Priority":1}]})"));
  ASSERT_TRUE(policy.ok()) << policy.status();
  EXPECT_EQ((*policy)->version(), 7U);
  const ForwardingRoute* route = (*policy)->FindRoute("h", "/a/1");
  ASSERT_NE(route, nullptr);
  EXPECT_TRUE(route->streaming);
  EXPECT_TRUE(route->resumable);
  EXPECT_EQ(route->split.size(), 2U);
  EXPECT_EQ(route->models, (std::vector<std::string>{"s", "l"}));
  EXPECT_EQ(route->home_regions, std::vector{RegionId("n")});
  route = (*policy)->FindRoute("h", "/b/");
  ASSERT_NE(route, nullptr);
  EXPECT_EQ(route->repeat_rule, RepeatRule::kAtMostOnce);
  EXPECT_EQ(route->split.at(0).service, ServiceId("q"));
  EXPECT_EQ((*policy)->access().FindAccount("k")->id, ClientAccountId("f"));
  EXPECT_EQ((*policy)->limits().body_bytes, 99U);
  EXPECT_FALSE(ReadPolicy(Record(R"({"Version":7})")).ok());
}

constexpr char kConfiguration[] =
    R"({"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/a/",)"
    R"("Kind":"idempotent","TimeoutMs":2000,"Service":"p"},)"
    R"({"Name":"t","Host":"h","PathPrefix":"/b/","Kind":"idempotent",)"
    R"("TimeoutMs":1000,"Service":"q"}],)"
    R"("Services":[{"Name":"p","ColdPerS":10.0},{"Name":"q"}],)"
    R"("Limits":{"MaxBodyBytes":99},)"
    R"("Tenants":[{"Name":"f","ApiKeys":["k"]},{"Name":"g","ApiKeys":["l"]}]})";

auto PolicyWith(const std::string& from, const std::string& to)
    -> std::shared_ptr<const TrafficPolicy> {
  std::string changed = kConfiguration;
  changed.replace(changed.find(from), from.size(), to);
  const auto policy = ReadPolicy(Record(changed));
  EXPECT_TRUE(policy.ok()) << policy.status();
  return policy.ok() ? *policy : nullptr;
}

TEST(RecordReader, AnOddRuleHidesNoOther) {
  const auto before = *ReadPolicy(Record(kConfiguration));
  const auto route = PolicyWith(R"("TimeoutMs":2000)", R"("TimeoutMs":-1)");
  EXPECT_EQ(route->FindRoute("h", "/a/"), nullptr);
  EXPECT_NE(route->FindRoute("h", "/b/"), nullptr);
  EXPECT_EQ(route->unreadable().at(0).name, "r");
  EXPECT_NE(route->WithLastSound(before.get())->FindRoute("h", "/a/"), nullptr);
  EXPECT_EQ(route->WithLastSound(nullptr)->FindRoute("h", "/a/"), nullptr);

  const auto service = PolicyWith("10.0", R"("10")");
  EXPECT_EQ(service->FindService(ServiceId("p")), nullptr);
  EXPECT_EQ(service->WithLastSound(before.get())
                ->FindService(ServiceId("p"))
                ->cold_requests_per_second,
            10.0);

  const auto limits = PolicyWith("99", "1e300");
  EXPECT_EQ(limits->WithLastSound(before.get())->limits().body_bytes, 99U);
}

TEST(RecordReader, AnOddAccountLosesItsKeysAndOpensNothing) {
  const auto before = *ReadPolicy(Record(kConfiguration));
  const auto one = PolicyWith(R"(["k"])", R"(["k",5])");
  EXPECT_EQ(one->WithLastSound(before.get())->access().FindAccount("k"),
            nullptr);
  EXPECT_NE(one->access().FindAccount("l"), nullptr);

  const auto all = PolicyWith(R"([{"Name":"f","ApiKeys":["k"]},)"
                              R"({"Name":"g","ApiKeys":["l"]}])",
                              R"([{"Name":"f","ApiKeys":5}])");
  EXPECT_TRUE(all->access().requires_key());
  EXPECT_TRUE(all->WithLastSound(before.get())->access().requires_key());
}

// An empty list was read like a missing one.
TEST(RecordReader, AnEmptyListOfAccountsStillRequiresKeys) {
  const std::string accounts =
      R"([{"Name":"f","ApiKeys":["k"]},{"Name":"g","ApiKeys":["l"]}])";
  const auto none = PolicyWith(accounts, "[]");
  EXPECT_TRUE(none->access().requires_key());
  EXPECT_TRUE(none->access().accounts().empty());

  const auto keyless = PolicyWith(accounts, R"([{"Name":"f","ApiKeys":[]}])");
  EXPECT_TRUE(keyless->access().requires_key());
  EXPECT_EQ(keyless->access().FindAccount("k"), nullptr);

  const auto open = PolicyWith(R"(,"Tenants":)" + accounts, "");
  EXPECT_FALSE(open->access().requires_key());
}

// An empty split made the route unreadable, so that its older services stayed.
TEST(RecordReader, AnEmptySplitTakesTheRoutesServiceAway) {
  const auto before = *ReadPolicy(Record(kConfiguration));
  const auto none = PolicyWith(R"("Service":"p")", R"("TrafficSplit":[])");
  EXPECT_TRUE(none->unreadable().empty());
  const auto merged = none->WithLastSound(before.get());
  ASSERT_NE(merged->FindRoute("h", "/a/"), nullptr);
  EXPECT_TRUE(merged->FindRoute("h", "/a/")->split.empty());

  const auto named =
      PolicyWith(R"("Service":"p")", R"("TrafficSplit":[],"Service":"p")");
  ASSERT_EQ(named->FindRoute("h", "/a/")->split.size(), 1U);
  EXPECT_EQ(named->FindRoute("h", "/a/")->split[0].service, ServiceId("p"));

  const auto missing = PolicyWith(R"("Service":"p")", R"("Public":false)");
  EXPECT_EQ(missing->unreadable().size(), 1U);
}

TEST(RecordReader, AnEmptyListOfAccountsStaysBesideAnOddRule) {
  const auto before = *ReadPolicy(Record(kConfiguration));
  std::string changed = kConfiguration;
  changed.replace(changed.find(R"([{"Name":"f")"), std::string::npos, "[]}");
  changed.replace(changed.find("2000"), 4, "-1");
  const auto policy = ReadPolicy(Record(changed));
  ASSERT_TRUE(policy.ok()) << policy.status();
  const auto merged = (*policy)->WithLastSound(before.get());
  EXPECT_NE(merged->FindRoute("h", "/a/"), nullptr);
  EXPECT_TRUE(merged->access().requires_key());
  EXPECT_TRUE(merged->access().accounts().empty());
}

TEST(RecordReader, ReadsARolloutAndWhatWasSaidOfIt) {
  const std::string spec = R"({"Service":"p","Target":"v2","DurationS":12})";
  const auto fresh = ReadRollout(Record(spec));
  ASSERT_TRUE(fresh.ok()) << fresh.status();
  EXPECT_FALSE(fresh->state.has_value());
  EXPECT_EQ(fresh->created, 5U);
  EXPECT_EQ(fresh->order.duration, std::chrono::seconds(12));
  const auto done =
      ReadRollout(Record(spec, R"({"State":"complete","Target":"v2"})"));
  EXPECT_EQ(done->state, RolloutState::kComplete);
  EXPECT_EQ(done->state_target, "v2");
}

TEST(CallerCalls, AnswersWhereToConnect) {
  CallerRequest request;
  request.target("/v1/lookup?Name=x&Region=no%72th&Zone=z");
  TrafficView view;
  view.fronts = {{"1.1.1.1:1", FailureDomainId("z"), RegionId("north")},
                 {"1.1.1.2:1", FailureDomainId("z"), RegionId("north")},
                 {"1.1.1.3:1", FailureDomainId("y"), RegionId("south")}};
  const WholeAnswer answer =
      AnswerDirectory(request, view, std::chrono::seconds(5));
  EXPECT_EQ(answer.result_int(), 200U);
  EXPECT_EQ(answer.body(),
            R"({"Addresses":["1.1.1.1:1","1.1.1.2:1"],"TtlS":2.0})");
  EXPECT_EQ(AnswerDirectory(request, {}, std::chrono::seconds(5)).result_int(),
            503U);
}

TEST(CallerCalls, SaysWhetherItIsReady) {
  CallerRequest request;
  request.target("/v1/ready");
  EXPECT_EQ(AnswerReady(request, true).result_int(), 200U);
  EXPECT_EQ(AnswerReady(request, false).result_int(), 503U);
}

}  // namespace
}  // namespace zinniastep::platform
