#include "libzinniastep/gateway/operator_proof.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace zinniastep {
namespace {

constexpr std::int64_t kNow = 1800000000;
const std::vector<std::string> kKeys = {"new", "old"};

auto IsAccepted(const std::string& proof, std::int64_t now = kNow) -> bool {
  return IsOperatorProof(proof, kKeys, "DELETE", "/held-parts/9", now);
}

TEST(OperatorProof, IsGoodForItsCallAndTime) {
  const std::string proof =
      OperatorProof("old", "DELETE", "/held-parts/9", kNow);
  EXPECT_TRUE(IsAccepted(proof));
  EXPECT_TRUE(IsAccepted(proof, kNow + 299));
  EXPECT_FALSE(IsAccepted(proof, kNow + 301));
  EXPECT_FALSE(IsAccepted(proof, kNow - 301));
  EXPECT_FALSE(
      IsAccepted(OperatorProof("old", "DELETE", "/held-parts/8", kNow)));
  EXPECT_FALSE(IsAccepted(OperatorProof("old", "GET", "/held-parts/9", kNow)));
  EXPECT_FALSE(
      IsAccepted(OperatorProof("other", "DELETE", "/held-parts/9", kNow)));
}

TEST(OperatorProof, RefusesWhatIsNone) {
  const std::string proof =
      OperatorProof("new", "DELETE", "/held-parts/9", kNow);
  for (const std::string& value :
       {std::string(), std::string("Operator "), std::string("Operator x y"),
        std::string("Operator -9223372036854775808 00"), proof + "0",
        proof.substr(1), std::string("Operator 99999999999999999999 00")}) {
    EXPECT_FALSE(IsAccepted(value)) << value;
  }
}

}  // namespace
}  // namespace zinniastep
