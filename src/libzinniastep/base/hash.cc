#include "libzinniastep/base/hash.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace zinniastep {

auto StableHash(std::string_view bytes, std::uint64_t seed) -> std::uint64_t {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

auto Sha256Hex(std::string_view bytes) -> std::string {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         digest.data());
  std::string text;
  text.reserve(2 * digest.size());
  for (const unsigned char byte : digest) {
    text.push_back(kDigits[byte >> 4U]);
    text.push_back(kDigits[byte & 0xfU]);
  }
  return text;
}

auto HmacSha256(std::string_view key, std::string_view bytes) -> std::string {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
       digest.data(), &length);
  return {reinterpret_cast<const char*>(digest.data()), length};
}

}  // namespace zinniastep
