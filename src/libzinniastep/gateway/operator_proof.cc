#include "libzinniastep/gateway/operator_proof.h"

#include <openssl/crypto.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>

#include "libzinniastep/base/hash.h"

namespace zinniastep {

namespace {

constexpr std::string_view kScheme = "Operator ";
constexpr std::int64_t kMaxAgeSeconds = 300;

auto ToHex(std::string_view bytes) -> std::string {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    text += kDigits[value >> 4U];
    text += kDigits[value & 15U];
  }
  return text;
}

}  // namespace

auto OperatorProof(std::string_view key,
                   std::string_view method,
                   std::string_view path,
                   std::int64_t unix_seconds) -> std::string {
  const std::string time = std::to_string(unix_seconds);
  const std::string call =
      time + " " + std::string(method) + " " + std::string(path);
  return std::string(kScheme) + time + " " + ToHex(HmacSha256(key, call));
}

auto IsOperatorProof(std::string_view value,
                     std::span<const std::string> keys,
                     std::string_view method,
                     std::string_view path,
                     std::int64_t unix_seconds) -> bool {
  if (!value.starts_with(kScheme)) {
    return false;
  }
  const std::string_view rest = value.substr(kScheme.size());
  std::int64_t time = 0;
  const auto result =
      std::from_chars(rest.data(), rest.data() + rest.size(), time);
  if (result.ec != std::errc() || time < 0 ||
      std::abs(time - unix_seconds) > kMaxAgeSeconds) {
    return false;
  }
  return std::ranges::any_of(keys, [&](const std::string& key) {
    const std::string proof = OperatorProof(key, method, path, time);
    return proof.size() == value.size() &&
           CRYPTO_memcmp(proof.data(), value.data(), proof.size()) == 0;
  });
}

}  // namespace zinniastep
