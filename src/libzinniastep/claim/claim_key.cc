#include "libzinniastep/claim/claim_key.h"

#include <array>
#include <charconv>
#include <cstdio>

#include "libzinniastep/base/hash.h"
#include "libzinniastep/core/cluster_view.h"

namespace zinniastep {

namespace {

constexpr std::string_view kHomeMarker = "zh1-";
constexpr std::size_t kIncarnationDigits = 16;
// 128 bits of the digest, in hexadecimal.
constexpr std::size_t kDigestDigits = 32;

auto ParseHex(std::string_view text) -> std::optional<std::uint64_t> {
  std::uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value, 16);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

auto DigestOf(const ClientAccountId& account, const IdempotencyKey& key)
    -> KeyDigest {
  const std::string bytes = account.text() + '\0' + key.text();
  return KeyDigest(Sha256Hex(bytes).substr(0, kDigestDigits));
}

auto ShardOf(const KeyDigest& digest) -> std::uint32_t {
  return static_cast<std::uint32_t>(StableHash(digest.text()) % kKeyShards);
}

auto HomePrefix(const HomeBinding& home) -> std::string {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%s%016llx-%llx-", kHomeMarker.data(),
                static_cast<unsigned long long>(home.incarnation),
                static_cast<unsigned long long>(home.period));
  return std::string(text.data());
}

auto ParseHome(std::string_view key) -> std::optional<HomeBinding> {
  if (!key.starts_with(kHomeMarker)) {
    return std::nullopt;
  }
  key.remove_prefix(kHomeMarker.size());
  if (key.size() <= kIncarnationDigits || key[kIncarnationDigits] != '-') {
    return std::nullopt;
  }
  const auto incarnation = ParseHex(key.substr(0, kIncarnationDigits));
  key.remove_prefix(kIncarnationDigits + 1);
  const std::size_t dash = key.find('-');
  if (dash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto period = ParseHex(key.substr(0, dash));
  if (!incarnation || *incarnation == 0 || !period || *period == 0) {
    return std::nullopt;
  }
  return HomeBinding{*incarnation, *period};
}

}  // namespace zinniastep
