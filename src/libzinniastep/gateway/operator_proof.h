#ifndef LIBZINNIASTEP_GATEWAY_OPERATOR_PROOF_H_
#define LIBZINNIASTEP_GATEWAY_OPERATOR_PROOF_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace zinniastep {

// Returns the value of the Authorization header with which an operator's tool
// changes something on a gateway host: it proves that the tool knows the
// fleet's signing key. `unix_seconds` is the time of the call.
[[nodiscard]] auto OperatorProof(std::string_view key,
                                 std::string_view method,
                                 std::string_view path,
                                 std::int64_t unix_seconds) -> std::string;

// Returns whether the value was made for the call with one of the keys, less
// than five minutes before or after `unix_seconds`.
[[nodiscard]] auto IsOperatorProof(std::string_view value,
                                   std::span<const std::string> keys,
                                   std::string_view method,
                                   std::string_view path,
                                   std::int64_t unix_seconds) -> bool;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_OPERATOR_PROOF_H_
