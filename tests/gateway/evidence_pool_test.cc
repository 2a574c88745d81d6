#include "libzinniastep/gateway/evidence_pool.h"

#include <gtest/gtest.h>

#include "tests/support/gateway_samples.h"

namespace zinniastep::testing {
namespace {

const VersionKey kKey{ServiceId("pool"), "v2", "r"};

TEST(EvidencePool, APeersNewerEvidenceReplacesItsEarlierOne) {
  EvidencePool pool;
  pool.AddOwn({{kKey, {2, 1, 0, 0.0}}});
  pool.ReplacePeerEvidence(At(0), 7, {{kKey, {10, 3, 0, 0.0}}});
  pool.ReplacePeerEvidence(At(100), 7, {{kKey, {12, 4, 0, 0.0}}});
  EXPECT_EQ(pool.all().at(kKey).answers, 14U);
  EXPECT_EQ(pool.all().at(kKey).failures, 5U);
  EXPECT_EQ(pool.own().at(kKey).answers, 2U);
}

TEST(EvidencePool, ASilentPeersEvidenceIsDropped) {
  EvidencePool pool;
  pool.ReplacePeerEvidence(At(0), 7, {{kKey, {10, 3, 0, 0.0}}});
  pool.ReplacePeerEvidence(At(100000), 8, {{kKey, {1, 0, 0, 0.0}}});
  pool.Expire(At(130000));
  EXPECT_EQ(pool.all().at(kKey).answers, 1U);
}

}  // namespace
}  // namespace zinniastep::testing
