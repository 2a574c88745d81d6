#ifndef LIBZINNIASTEP_BASE_BOUNDED_JSON_H_
#define LIBZINNIASTEP_BASE_BOUNDED_JSON_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

namespace zinniastep {

// Reading JSON that other programs wrote. nlohmann::json parses any depth, but
// its copies and dumps call themselves once for each level, so that a text of
// 200 KB can overflow the stack. Its conversions of numbers do not check that
// the value fits, which is undefined for a double.

// Levels of nested arrays and objects in a text that is accepted.
inline constexpr std::size_t kMostJsonDepth = 64;

// Returns whether arrays and objects are nested more deeply than
// kMostJsonDepth. Takes time linear in the text and no stack.
[[nodiscard]] auto IsNestedTooDeeply(std::string_view text) -> bool;

// Parses a text, or returns an error that says what is wrong with it: too many
// levels, not JSON, or a number that no double can hold.
[[nodiscard]] auto ParseBoundedJson(std::string_view text)
    -> absl::StatusOr<nlohmann::json>;

// The same; returns a discarded value instead of an error.
[[nodiscard]] auto JsonOrDiscarded(std::string_view text) -> nlohmann::json;

// The same; throws nlohmann::json::exception instead of returning an error.
[[nodiscard]] auto JsonOrThrow(std::string_view text) -> nlohmann::json;

// Returns a whole number of at most `most`; throws nlohmann::json::exception
// for another value.
[[nodiscard]] auto WholeOrThrow(
    const nlohmann::json& value,
    std::uint64_t most = std::numeric_limits<std::uint64_t>::max())
    -> std::uint64_t;

// Returns the items of an array, or nullopt if the text is not one. Items are
// slices of the text and need not be JSON themselves, as long as their
// brackets and quotes are balanced: one bad item does not hide the others.
[[nodiscard]] auto SplitJsonArray(std::string_view text)
    -> std::optional<std::vector<std::string_view>>;

// One member of an object: its name, still with its escapes, and the slice of
// its value.
struct JsonMember {
  std::string_view name;
  std::string_view value;
};

// Returns the members of an object in the same way.
[[nodiscard]] auto SplitJsonObject(std::string_view text)
    -> std::optional<std::vector<JsonMember>>;

// Returns the value of the last member of that name; empty without one.
[[nodiscard]] auto FindMember(std::span<const JsonMember> members,
                              std::string_view name) -> std::string_view;

// Returns a whole number from `least` to `most`, or nullopt for another value.
[[nodiscard]] auto WholeJsonNumber(const nlohmann::json& value,
                                   std::uint64_t least,
                                   std::uint64_t most)
    -> std::optional<std::uint64_t>;

// Returns a number from `least` to `most`, or nullopt for another value.
[[nodiscard]] auto RealJsonNumber(const nlohmann::json& value,
                                  double least,
                                  double most) -> std::optional<double>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_BASE_BOUNDED_JSON_H_
