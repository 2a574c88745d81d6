#include "platform/record_list.h"

#include <set>
#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "libzinniastep/base/bounded_json.h"
#include "libzinniastep/base/random.h"
#include "platform/record_reader.h"

namespace zinniastep::platform {
namespace {

constexpr std::size_t kDeep = 100000;

auto Server(const std::string& name) -> std::string {
  return R"({"Metadata":{"Name":")" + name +
         R"(","Revision":7,"Deleting":false},"Spec":{"Service":"p",)"
         R"("Address":"10.0.0.1:80","Zone":"z","Version":"v1","Slots":64,)"
         R"("State":"ready","ColdLeftMs":0,"Seq":4,"born":99}})";
}

auto Replaced(std::string text, const std::string& from, const std::string& to)
    -> std::string {
  return text.replace(text.find(from), from.size(), to);
}

auto Nested(std::size_t levels) -> std::string {
  return std::string(levels, '[') + std::string(levels, ']');
}

auto List(const std::vector<std::string>& entries) -> std::string {
  std::string text;
  for (const std::string& entry : entries) {
    text += (text.empty() ? "" : ",") + entry;
  }
  return R"({"Entries":[)" + text + R"(],"HasMore":false,"At":12})";
}

auto Events(const std::vector<std::string>& entries) -> std::string {
  std::string text;
  for (const std::string& entry : entries) {
    text += (text.empty() ? "" : ",") +
            (R"({"Removed":false,"Object":)" + entry + "}");
  }
  return R"({"events":[)" + text + R"(],"At":12})";
}

// Servers that a list or a watch's answer names, and that can be used.
auto ServersOf(const RecordReadResult& result) -> std::set<std::string> {
  std::vector<StoredRecord> records;
  if (const auto* page = std::get_if<RecordPage>(&result)) {
    records = page->records;
  } else if (const auto* changes = std::get_if<RecordChanges>(&result)) {
    for (const RecordChange& change : changes->changes) {
      records.push_back(change.record);
    }
  } else {
    ADD_FAILURE() << "the answer was not read";
  }
  std::set<std::string> servers;
  for (const StoredRecord& record : records) {
    if (ReadBackend(record).ok()) {
      servers.insert(record.name);
    }
  }
  return servers;
}

auto OddEntries() -> std::vector<std::string> {
  const std::string good = Server("odd");
  return {
      Replaced(good, R"("born")", R"("more":)" + Nested(kDeep) + R"(,"born")"),
      Replaced(good, R"("Revision":7)", R"("Revision":7,"m":)" + Nested(kDeep)),
      Replaced(good, R"("ColdLeftMs":0)", R"("ColdLeftMs":1e999)"),
      Replaced(good, R"("ColdLeftMs":0)", R"("ColdLeftMs":1e300)"),
      Replaced(good, R"("ColdLeftMs":0)", R"("ColdLeftMs":-1)"),
      Replaced(good, R"("Slots":64)", R"("Slots":-1)"),
      Replaced(good, R"("Slots":64)", R"("Slots":1e300)"),
      Replaced(good, R"("Slots":64)", R"("Slots":64.5)"),
      Replaced(good, R"("Seq":4)", R"("Seq":1e300)"),
      Replaced(good, R"("Seq":4)", R"("Seq":12345678901234567890123)"),
      Replaced(good, "10.0.0.1:80", "10.0.0.1:99999"),
      Replaced(good, "10.0.0.1:80", "10.0.0.1:0"),
      Replaced(good, "10.0.0.1:80", "10.0.0.1"),
      Replaced(good, "10.0.0.1:80", "somewhere:80"),
      Replaced(good, R"("State":"ready")", R"("State":null)"),
      Replaced(good, R"("Zone":"z",)", ""),
      Replaced(good, R"("Revision":7)", R"("Revision":"7")"),
      Replaced(good, R"("Revision":7,)", ""),
      Replaced(good, R"("Name":"odd")", R"("Name":5)"),
      Replaced(good, "Metadata", "Motadata"),
      Replaced(good, R"("v1")", "\"\xff\xfe\""),
      Replaced(good, R"("v1")", R"("\ud800")"),
      Replaced(good, R"("Slots":64)", R"("Slots":nul)"),
      "{}",
      "[]",
      "5",
      "null",
      R"("}{][")",
      Nested(kDeep)};
}

TEST(RecordListTest, AnOddEntryHidesNoOtherAndNamesNoServer) {
  for (const std::string& odd : OddEntries()) {
    const std::set<std::string> sound = {"a", "b"};
    EXPECT_EQ(ServersOf(ReadRecordPage(List({Server("a"), odd, Server("b")}))),
              sound)
        << odd.substr(0, 200);
    EXPECT_EQ(
        ServersOf(ReadRecordChanges(Events({Server("a"), odd, Server("b")}))),
        sound)
        << odd.substr(0, 200);
  }
}

TEST(RecordListTest, ADeeplyNestedEntryIsNamedAndCarriesNoContent) {
  const std::string odd = Replaced(Server("odd"), R"("born")",
                                   R"("more":)" + Nested(kDeep) + R"(,"born")");
  const auto result = ReadRecordPage(List({odd}));
  const auto& page = std::get<RecordPage>(result);
  ASSERT_EQ(page.records.size(), 1U);
  EXPECT_EQ(page.records[0].revision, 7U);
  EXPECT_TRUE(page.records[0].content.empty());
  ASSERT_EQ(page.unreadable.size(), 1U);
  EXPECT_EQ(page.unreadable[0].name, "odd");
}

TEST(RecordListTest, AnAnswerWithoutItsListIsNotAnEmptyOne) {
  EXPECT_TRUE(std::holds_alternative<RecordPage>(
      ReadRecordPage(R"({"Entries":[],"HasMore":false,"At":12})")));
  EXPECT_TRUE(std::holds_alternative<RecordChanges>(
      ReadRecordChanges(R"({"events":[],"At":12})")));
  EXPECT_TRUE(ReadHostList(R"({"Entries":[]})").has_value());
  for (const char* body :
       {R"({"HasMore":false,"At":12})", R"({"Entries":null,"At":12})",
        R"({"Entries":{},"At":12})", R"({"events":{},"At":12})", "{}", ""}) {
    EXPECT_TRUE(std::holds_alternative<ReadFailed>(ReadRecordPage(body)))
        << body;
    EXPECT_TRUE(std::holds_alternative<ReadFailed>(ReadRecordChanges(body)))
        << body;
    EXPECT_FALSE(ReadHostList(body).has_value()) << body;
  }
}

TEST(RecordListTest, APageOfUnusableEntriesIsNotTheLast) {
  const std::string deleting =
      Replaced(Server("z"), R"("Deleting":false)", R"("Deleting":true)");
  const auto result = ReadRecordPage(
      Replaced(List({deleting}), R"("HasMore":false)", R"("HasMore":true)"));
  const auto& page = std::get<RecordPage>(result);
  EXPECT_TRUE(page.records.empty());
  EXPECT_EQ(page.last_name, "z");
}

TEST(RecordListTest, AnAnswerThatIsNoListIsAFailure) {
  for (const std::string& body :
       {std::string(), std::string("{}"), std::string("[]"), Nested(kDeep),
        Replaced(List({}), "12", R"("12")"), Replaced(List({}), "[]", "{}"),
        List({Server("a")}).substr(0, 100), List({}) + "x"}) {
    EXPECT_TRUE(std::holds_alternative<ReadFailed>(ReadRecordPage(body)))
        << body.substr(0, 200);
  }
}

TEST(RecordListTest, AnOddHostHidesNoOther) {
  const auto host = [](const std::string& name, const std::string& address) {
    return R"({"Metadata":{"Name":")" + name +
           R"(","Revision":3},"Spec":{"peer_address":)" + address + "}}";
  };
  const auto list = ReadHostList(
      List({host("a", R"("10.0.0.1:80")"), host("b", R"("10.0.0.2:99999")"),
            host("c", Nested(kDeep)), "{}", host("d", R"("10.0.0.4:80")")}));
  ASSERT_TRUE(list.has_value());
  ASSERT_EQ(list->hosts.size(), 2U);
  EXPECT_EQ(list->hosts[0].host, HostId("a"));
  EXPECT_EQ(list->hosts[1].host, HostId("d"));
}

// Replaces random values of one entry by hostile ones.
TEST(RecordListTest, NoChangedValueOfAnEntryHidesAnother) {
  const std::vector<std::string> hostile = {"1e999",
                                            "-1e999",
                                            "-1",
                                            "1e300",
                                            "123456789012345678901234567890",
                                            "null",
                                            "true",
                                            "[]",
                                            "{}",
                                            "\"\"",
                                            R"("\u0000")",
                                            R"("]}")",
                                            "\"\xc3\"",
                                            "18446744073709551615",
                                            "0.5",
                                            "nul",
                                            "01",
                                            Nested(200),
                                            Nested(kDeep)};
  const std::string good = Server("odd");
  std::vector<std::size_t> values;
  for (std::size_t at = good.find(':'); at != std::string::npos;
       at = good.find(':', at + 1)) {
    if (good[at - 1] == '"') {
      values.push_back(at + 1);
    }
  }
  Random random(1);
  for (int i = 0; i < 2000; ++i) {
    const std::size_t at = values.at(random.Below(values.size()));
    const std::size_t nested =
        good[at] == '{' ? good.find('}', at) + 1 : good.find_first_of(",}", at);
    const std::string odd = good.substr(0, at) +
                            hostile.at(random.Below(hostile.size())) +
                            good.substr(nested);
    const auto servers =
        ServersOf(ReadRecordPage(List({Server("a"), odd, Server("b")})));
    EXPECT_TRUE(servers.contains("a") && servers.contains("b"))
        << odd.substr(0, 300);
  }
}

TEST(BoundedJsonTest, DepthIsBoundedWhateverTheTextHolds) {
  EXPECT_TRUE(ParseBoundedJson(Nested(kMostJsonDepth)).ok());
  EXPECT_FALSE(ParseBoundedJson(Nested(kMostJsonDepth + 1)).ok());
  EXPECT_FALSE(ParseBoundedJson(std::string(kDeep, '[')).ok());
  EXPECT_TRUE(
      ParseBoundedJson("\"" + std::string(kDeep, '[') + R"(\"[")").ok());
  EXPECT_FALSE(ParseBoundedJson("1e999").ok());
}

// Guards against a header that is taken for an era although it is none: a wrong
// era shuts out all answers of the right one.
TEST(RecordList, OnlyDigitsAreAnEra) {
  EXPECT_TRUE(std::holds_alternative<NoEra>(ReadStoreEra({})));
  EXPECT_EQ(ReadStoreEra({{"store-era", "3"}}), ReportedEra(std::uint64_t{3}));
  EXPECT_EQ(ReadStoreEra({{"store-era", " 12 "}}),
            ReportedEra(std::uint64_t{12}));
  for (const std::string text : {"", " ", "x", "3x", "-1", "+1", "1.5", "0x10",
                                 "1,2", "18446744073709551616"}) {
    EXPECT_TRUE(std::holds_alternative<UnreadableEra>(
        ReadStoreEra({{"store-era", text}})))
        << text;
  }
}

}  // namespace
}  // namespace zinniastep::platform
