#include "libzinniastep/gateway/request_signature.h"

#include <string_view>
#include <vector>

#include <gtest/gtest.h>

namespace zinniastep::testing {
namespace {

using Fields = std::vector<std::string_view>;

TEST(RequestSignature, IsTheSameForTheSameFieldsOnly) {
  const PromptPartId signature = RequestSignature(Fields{"POST", "/a", "body"});
  EXPECT_EQ(RequestSignature(Fields{"POST", "/a", "body"}), signature);
  for (const Fields& other :
       {Fields{"POST", "/a", "bodz"}, Fields{"POST", "/ab", "ody"},
        Fields{"POST", "/a"}, Fields{"POST", "/a", "body", ""},
        Fields{"/a", "POST", "body"}, Fields{"POST/a", "", "body"}}) {
    EXPECT_NE(RequestSignature(other), signature);
  }
}

}  // namespace
}  // namespace zinniastep::testing
