#include "libzinniastep/gateway/record_packer.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "libzinniastep/base/compression.h"
#include "tests/support/configuration_text.h"

namespace zinniastep::testing {
namespace {

constexpr RecordKind kKind = RecordKind::kConfiguration;
constexpr std::size_t kRoutes = 4800;

auto Holding(const std::string& content, std::uint64_t revision)
    -> RecordPacker::Records {
  return {{"main", {"main", revision, content}}};
}

auto AnswerWith(const std::string& content, std::uint64_t revision)
    -> RecordSnapshot {
  return {kKind, revision, {{"main", revision, content}}, {}};
}

// Two hosts, one of which has a newer version of a long configuration.
class RecordPackerTest : public ::testing::Test {
 protected:
  RecordPackerTest() {
    text_.AddRoutes(kRoutes);
    old_ = text_.Version(1);
    text_.AddRoutes(1);
    new_ = text_.Version(2);
    newer_host_.OnChanged(kKind, Holding(old_, 1));
    newer_host_.OnChanged(kKind, Holding(new_, 2));
    older_host_.OnChanged(kKind, Holding(old_, 1));
  }

  auto RequestOfOlder() const -> PackedRecordsRequest {
    return {kKind, 1, older_host_.Bases(Holding(old_, 1))};
  }

  ConfigurationText text_{1};
  std::string old_;
  std::string new_;
  RecordPacker newer_host_;
  RecordPacker older_host_;
};

TEST_F(RecordPackerTest, AChangeOfOneRouteIsSentWithoutTheOthers) {
  const auto packed =
      newer_host_.Pack(RequestOfOlder(), AnswerWith(new_, 2)).value();
  EXPECT_LE(packed.bytes.size(), 1400U) << "it fits a datagram";
  const auto answer = older_host_.Unpack(packed).value();
  EXPECT_EQ(std::get<RecordSnapshot>(answer).records.at(0).content, new_);
}

TEST_F(RecordPackerTest, AHostWithoutAnEarlierStateGetsTheFullOne) {
  const PackedRecordsRequest request{kKind, 0, {}};
  const auto packed = newer_host_.Pack(request, AnswerWith(new_, 2)).value();
  EXPECT_LE(packed.bytes.size(), new_.size() / 4);
  const auto answer = RecordPacker().Unpack(packed).value();
  EXPECT_EQ(std::get<RecordSnapshot>(answer).records.at(0).content, new_);
}

TEST_F(RecordPackerTest, AnAnswerIsCompressedOnceForAllHostsOfOneState) {
  EXPECT_FALSE(newer_host_.Find(RequestOfOlder()).has_value());
  const auto packed =
      newer_host_.Pack(RequestOfOlder(), AnswerWith(new_, 2)).value();
  EXPECT_EQ(newer_host_.Find(RequestOfOlder()).value().bytes, packed.bytes);
  EXPECT_FALSE(newer_host_.Find({kKind, 1, {}}).has_value())
      << "another prefix makes another answer";
  newer_host_.OnChanged(kKind, Holding(new_, 3));
  EXPECT_FALSE(newer_host_.Find(RequestOfOlder()).has_value())
      << "the state has changed since";
}

TEST_F(RecordPackerTest, AnAnswerWhosePrefixIsNotHeldIsRefused) {
  const auto packed =
      newer_host_.Pack(RequestOfOlder(), AnswerWith(new_, 2)).value();
  EXPECT_FALSE(RecordPacker().Unpack(packed).ok());
}

TEST_F(RecordPackerTest, BytesThatAreCutOrChangedGiveNoOtherContent) {
  const auto packed =
      newer_host_.Pack(RequestOfOlder(), AnswerWith(new_, 2)).value();
  for (std::size_t at = 0; at < packed.bytes.size(); ++at) {
    PackedRecords cut = packed;
    cut.bytes.resize(at);
    EXPECT_FALSE(older_host_.Unpack(cut).ok()) << at;
    PackedRecords changed = packed;
    changed.bytes[at] = static_cast<char>(~changed.bytes[at]);
    const auto answer = older_host_.Unpack(changed);
    if (answer.ok()) {
      const auto& snapshot = std::get<RecordSnapshot>(*answer);
      EXPECT_EQ(snapshot.as_of, StorePosition(2)) << at;
      EXPECT_EQ(snapshot.records, AnswerWith(new_, 2).records) << at;
    }
  }
}

TEST_F(RecordPackerTest, TheContentsThatAreKeptHaveABound) {
  const std::string long_content(std::size_t{3} << 20U, 'x');
  newer_host_.OnChanged(kKind, Holding(long_content + "1", 3));
  newer_host_.OnChanged(kKind, Holding(long_content + "2", 4));
  const auto packed =
      newer_host_.Pack(RequestOfOlder(), AnswerWith(new_, 2)).value();
  EXPECT_EQ(packed.base, 0U) << "the older content was dropped";
}

TEST_F(RecordPackerTest, AContentThatIsNotHeldIsNotNamedAsAPrefix) {
  const std::string too_long(std::size_t{5} << 20U, 'x');
  older_host_.OnChanged(kKind, Holding(too_long, 2));
  EXPECT_TRUE(older_host_.Bases(Holding(too_long, 2)).empty());
}

TEST_F(RecordPackerTest, AnAnswerThatPeersWouldRefuseIsNotMade) {
  const std::string too_long(std::size_t{9} << 20U, 'x');
  EXPECT_FALSE(
      newer_host_.Pack(RequestOfOlder(), AnswerWith(too_long, 3)).ok());
}

TEST(Compression, AResultThatWouldBeTooLongIsRefused) {
  const std::string compressed = Compress(std::string(100000, 'x'), "").value();
  EXPECT_FALSE(Decompress(compressed, "", 99999).ok());
  EXPECT_EQ(Decompress(compressed, "", 100000).value().size(), 100000U);
}

}  // namespace
}  // namespace zinniastep::testing
