#include "libzinniastep/session/session_tokens.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <sstream>
#include <stdexcept>
#include <utility>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "libzinniastep/base/hash.h"

namespace zinniastep {

namespace {

constexpr std::string_view kTokenPrefix = "zs1.";
constexpr std::size_t kSignatureLength = 32;
// Keeps session tokens apart from everything else that the keys may sign.
constexpr std::string_view kPurpose = "session-token:";

auto Signature(std::string_view key, std::string_view payload) -> std::string {
  return HmacSha256(key, std::string(kPurpose) + std::string(payload));
}

auto ToBase64(std::string_view bytes) -> std::string {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

// Returns the bytes with the zeros that padding stands for.
auto FromBase64(std::string_view text) -> std::optional<std::string> {
  if (text.empty() || text.size() % 4 != 0) {
    return std::nullopt;
  }
  std::string bytes(3 * (text.size() / 4), '\0');
  const int length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (length < 0) {
    return std::nullopt;
  }
  const std::size_t padding = text.ends_with("==")  ? 2
                              : text.ends_with('=') ? 1
                                                    : 0;
  bytes.resize(static_cast<std::size_t>(length) - padding);
  return bytes;
}

auto EncodePins(const SessionPins& pins) -> std::string {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(pins);
  }
  return stream.str();
}

auto DecodePins(std::string_view payload) -> std::optional<SessionPins> {
  std::istringstream stream{std::string(payload)};
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    SessionPins pins;
    archive(pins);
    return pins;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

SessionTokens::SessionTokens(std::vector<std::string> keys)
    : keys_(std::move(keys)) {}

auto SessionTokens::Sign(const SessionPins& pins) const -> std::string {
  if (pins.session.empty() ||
      pins.session.text().size() > kLongestSessionName) {
    return {};
  }
  const std::string payload = EncodePins(pins);
  return std::string(kTokenPrefix) +
         ToBase64(Signature(keys_.front(), payload) + payload);
}

auto SessionTokens::SignedWithOneOf(std::string_view payload,
                                    std::string_view signature) const -> bool {
  for (const std::string& key : keys_) {
    const std::string expected = Signature(key, payload);
    if (CRYPTO_memcmp(expected.data(), signature.data(), kSignatureLength) ==
        0) {
      return true;
    }
  }
  return false;
}

auto SessionTokens::Verify(std::string_view token,
                           const SessionId& session) const
    -> std::optional<SessionPins> {
  if (token.size() > kLongestSessionToken || !token.starts_with(kTokenPrefix)) {
    return std::nullopt;
  }
  const auto bytes = FromBase64(token.substr(kTokenPrefix.size()));
  if (!bytes || bytes->size() <= kSignatureLength) {
    return std::nullopt;
  }
  const std::string_view signature =
      std::string_view(*bytes).substr(0, kSignatureLength);
  const std::string_view payload =
      std::string_view(*bytes).substr(kSignatureLength);
  if (!SignedWithOneOf(payload, signature)) {
    return std::nullopt;
  }
  auto pins = DecodePins(payload);
  if (!pins || (!session.empty() && pins->session != session)) {
    return std::nullopt;
  }
  return pins;
}

}  // namespace zinniastep
