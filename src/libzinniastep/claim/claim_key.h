#ifndef LIBZINNIASTEP_CLAIM_CLAIM_KEY_H_
#define LIBZINNIASTEP_CLAIM_CLAIM_KEY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libzinniastep/base/ids.h"

namespace zinniastep {

// Digest of an account and an idempotency key, so that two accounts never
// share a key and long keys cost no memory.
using KeyDigest = NamedId<struct KeyDigestTag>;

// The process that alone may decide on a key, and the period in which it
// handed the key's prefix out.
struct HomeBinding {
  Incarnation incarnation = 0;
  std::uint64_t period = 0;

  auto operator==(const HomeBinding&) const -> bool = default;

  // Reads or writes the binding with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(incarnation, period);
  }
};

// Returns the digest of an account's key.
[[nodiscard]] auto DigestOf(const ClientAccountId& account,
                            const IdempotencyKey& key) -> KeyDigest;

// Returns the shard that a key without a home belongs to.
[[nodiscard]] auto ShardOf(const KeyDigest& digest) -> std::uint32_t;

// Returns the prefix that binds a key to a process.
[[nodiscard]] auto HomePrefix(const HomeBinding& home) -> std::string;

// Returns the home that a key's prefix names. A key whose prefix is malformed
// is an ordinary key that its caller made up.
[[nodiscard]] auto ParseHome(std::string_view key)
    -> std::optional<HomeBinding>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CLAIM_CLAIM_KEY_H_
