#include "libzinniastep/wire/codec.h"

#include <string>

#include <gtest/gtest.h>

#include "libzinniastep/base/hash.h"

namespace zinniastep {
namespace {

auto SomeEnvelope() -> Envelope {
  return Envelope{HostId("a"), 7, "127.0.0.1:9000", PeerMessage{}};
}

TEST(CodecTest, DecodesWhatItEncoded) {
  const Codec codec({"key"});
  const auto decoded = codec.Decode(codec.Encode(SomeEnvelope()));
  ASSERT_TRUE(decoded.ok()) << decoded.status();
  EXPECT_EQ(decoded->from, HostId("a"));
  EXPECT_EQ(decoded->incarnation, 7U);
  EXPECT_EQ(decoded->address, "127.0.0.1:9000");
}

TEST(CodecTest, AcceptsTheOldKeyWhileKeysRotate) {
  const Codec old_codec({"old"});
  const Codec rotating({"new", "old"});
  const Codec rotated({"new"});
  const std::string bytes = old_codec.Encode(SomeEnvelope());
  EXPECT_TRUE(rotating.Decode(bytes).ok());
  EXPECT_FALSE(rotated.Decode(bytes).ok());
}

TEST(CodecTest, RefusesEveryTruncationAndEveryChangedByte) {
  const Codec codec({"key"});
  const std::string bytes = codec.Encode(SomeEnvelope());
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    EXPECT_FALSE(codec.Decode(std::string_view(bytes).substr(0, i)).ok());
    std::string changed = bytes;
    changed[i] = static_cast<char>(changed[i] ^ 1);
    EXPECT_FALSE(codec.Decode(changed).ok()) << "byte " << i;
  }
}

// A signature does not make a length true: nothing is allocated for one that
// exceeds the message.
TEST(CodecTest, RefusesALengthBeyondTheMessage) {
  const Codec codec({"key"});
  const std::string payload(
      "\x01\x03\x00\x0e\x36\x36\x36\x36\x36\x36\x36\x36\x36", 13);
  const std::string signature = HmacSha256("key", payload).substr(0, 16);
  EXPECT_EQ(codec.Decode(signature + payload).status().message(),
            "length exceeds the message");
}

}  // namespace
}  // namespace zinniastep
