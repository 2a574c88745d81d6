#include <string>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "libzinniastep/assignment/assignment_table.h"
#include "libzinniastep/billing/ledger.h"
#include "libzinniastep/claim/shard_ledger.h"
#include "libzinniastep/configuration/json_object_reader.h"
#include "libzinniastep/configuration/record_content.h"
#include "libzinniastep/operations/record_change.h"

namespace zinniastep {
namespace {

// Deep enough to overflow the stack in a copy or a dump of nlohmann::json.
constexpr std::size_t kDeep = 200000;

auto Nested() -> std::string {
  return std::string(kDeep, '[') + std::string(kDeep, ']');
}

TEST(HostileJson, ADeeplyNestedDocumentIsAFinding) {
  Findings findings;
  EXPECT_FALSE(ParseJson(Nested(), findings).has_value());
  EXPECT_EQ(findings.size(), 1U);
}

TEST(HostileJson, ADeeplyNestedPatchFromAPeerDoesNotFit) {
  const std::string patch =
      R"([{"op":"add","path":"/a","value":)" + Nested() + "}]";
  EXPECT_EQ(PatchJson("{}", patch), std::nullopt);
  EXPECT_EQ(PatchJson(R"({"a":)" + Nested() + "}", "[]"), std::nullopt);
}

TEST(HostileJson, ADeeplyNestedObjectOfTheStoreIsOneDifference) {
  EXPECT_EQ(ListDifferences("{}", Nested()).size(), 1U);
  EXPECT_EQ(ListDifferences(Nested(), "{}").size(), 1U);
}

TEST(HostileJson, NumbersThatDoNotFitAreErrors) {
  for (const std::string number :
       {"1e300", "-1", "0.5", "1e999", "99999999999999999999999", "null"}) {
    EXPECT_FALSE(DecodeTable(R"({"generation":)" + number +
                             R"(,"last_epoch":1,"slots":[]})")
                     .ok())
        << number;
    EXPECT_FALSE(
        ReadShardLedger(R"({"millisecond":)" + number + R"(,"entries":[]})")
            .ok())
        << number;
    EXPECT_FALSE(ReadShardLedger(R"({"millisecond":1,"entries":[["00",)" +
                                 number + ",1,1,1,1]]}")
                     .ok())
        << number;
    EXPECT_FALSE(
        ReadLedger(R"({"incarnation":1,"part":)" + number +
                   R"(,"host":"h","mark":1,"sealed":false,"sealed_by":0,)"
                   R"("taken":[],"taken_totals":[],"totals":[]})")
            .ok())
        << number;
  }
}

}  // namespace
}  // namespace zinniastep
