#ifndef LIBZINNIASTEP_BASE_HASH_H_
#define LIBZINNIASTEP_BASE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace zinniastep {

// Returns a hash that is the same in every process and on every machine.
[[nodiscard]] auto StableHash(std::string_view bytes, std::uint64_t seed = 0)
    -> std::uint64_t;

// Returns the SHA-256 digest as 64 hexadecimal digits. Documents keep only
// this of an account's key.
[[nodiscard]] auto Sha256Hex(std::string_view bytes) -> std::string;

// Returns the HMAC-SHA-256 of the bytes under the key: 32 raw bytes.
[[nodiscard]] auto HmacSha256(std::string_view key, std::string_view bytes)
    -> std::string;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_BASE_HASH_H_
