#ifndef LIBZINNIASTEP_CONFIGURATION_DOCUMENT_READER_H_
#define LIBZINNIASTEP_CONFIGURATION_DOCUMENT_READER_H_

#include <cstdint>
#include <string_view>

#include "libzinniastep/configuration/document.h"
#include "libzinniastep/configuration/parsed.h"

namespace zinniastep {

// The most of each kind that one document may hold.
inline constexpr std::uint64_t kMostAccounts = 1000;
inline constexpr std::uint64_t kMostKeysPerAccount = 8;
inline constexpr std::uint64_t kMostVersions = 500;
inline constexpr std::uint64_t kMostCascades = 200;
inline constexpr std::uint64_t kMostRollouts = 200;
inline constexpr std::uint64_t kMostServices = 200;
inline constexpr std::uint64_t kMostRolloutSteps = 32;
// Largest sum of money in one member, in millionths of the currency.
inline constexpr std::uint64_t kMostMicroMoney = 1'000'000'000'000'000;

// Reads a team's document from JSON, with everything that is wrong with it:
// wrong types, ranges and sizes, unknown members, names that stand twice, and
// references to nothing.
[[nodiscard]] auto ReadDocument(std::string_view text) -> Parsed<Document>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_DOCUMENT_READER_H_
