#include "libzinniastep/wire/codec.h"

#include <openssl/crypto.h>

#include <sstream>
#include <stdexcept>
#include <utility>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include "libzinniastep/base/hash.h"
#include "libzinniastep/wire/bounded_input_archive.h"

namespace zinniastep {

namespace {

constexpr std::size_t kSignatureLength = 16;

auto Signature(std::string_view key, std::string_view payload) -> std::string {
  return HmacSha256(key, payload).substr(0, kSignatureLength);
}

auto SignedWithOneOf(const std::vector<std::string>& keys,
                     std::string_view signature,
                     std::string_view payload) -> bool {
  for (const std::string& key : keys) {
    const std::string expected = Signature(key, payload);
    if (CRYPTO_memcmp(expected.data(), signature.data(), kSignatureLength) ==
        0) {
      return true;
    }
  }
  return false;
}

}  // namespace

Codec::Codec(std::vector<std::string> keys) : keys_(std::move(keys)) {}

auto Codec::Encode(const Envelope& envelope) const -> std::string {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(kWireVersion, envelope.from, envelope.incarnation, envelope.address,
            envelope.message);
  }
  const std::string payload = stream.str();
  return Signature(keys_.front(), payload) + payload;
}

auto Codec::Decode(std::string_view bytes) const -> absl::StatusOr<Envelope> {
  if (bytes.size() < kSignatureLength) {
    return absl::InvalidArgumentError("message too short");
  }
  if (bytes.size() > kLongestMessage) {
    return absl::InvalidArgumentError("message too long");
  }
  const std::string_view signature = bytes.substr(0, kSignatureLength);
  const std::string_view payload = bytes.substr(kSignatureLength);
  if (!SignedWithOneOf(keys_, signature, payload)) {
    return absl::UnauthenticatedError("message not signed with a known key");
  }
  try {
    BoundedInputArchive archive(payload);
    std::uint16_t version = 0;
    archive(version);
    if (version != kWireVersion) {
      return absl::FailedPreconditionError("message of another wire version");
    }
    Envelope envelope;
    archive(envelope.from, envelope.incarnation, envelope.address,
            envelope.message);
    return envelope;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

}  // namespace zinniastep
