#ifndef LIBZINNIASTEP_CONFIGURATION_JSON_OBJECT_READER_H_
#define LIBZINNIASTEP_CONFIGURATION_JSON_OBJECT_READER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "libzinniastep/base/finding.h"

namespace zinniastep {

// Largest text that a reader takes, in bytes: the object API's limit.
inline constexpr std::size_t kLargestText = std::size_t{1} << 20U;
// Longest name of anything, in bytes.
inline constexpr std::size_t kLongestName = 64;
// Longest free text, as a reason, in bytes.
inline constexpr std::size_t kLongestReason = 512;

// Whether a member may be left out.
enum class Presence : std::uint8_t { kRequired, kOptional };

// Inclusive bounds of a whole number.
struct WholeRange {
  std::uint64_t least = 0;
  std::uint64_t most = 0;
};

// Inclusive bounds of a real number.
struct RealRange {
  double least = 0.0;
  double most = 1.0;
};

// Returns the JSON pointer of a member or of an array's item.
[[nodiscard]] auto MemberPlace(std::string_view parent, std::string_view key)
    -> std::string;
[[nodiscard]] auto ItemPlace(std::string_view parent, std::size_t index)
    -> std::string;

// Returns whether the text may name something: 1 to kLongestName letters,
// digits, dots, dashes and underscores, beginning with a letter or digit.
[[nodiscard]] auto IsName(std::string_view text) -> bool;

// Returns whether the text is a SHA-256 digest: 64 lower-case hexadecimal
// digits.
[[nodiscard]] auto IsSha256Digest(std::string_view text) -> bool;

// Returns the text as JSON, or null after adding findings: too large, not
// JSON, or an object with the same member twice.
[[nodiscard]] auto ParseJson(std::string_view text, Findings& findings)
    -> std::optional<nlohmann::json>;

// Reads the members of one JSON object. Whatever is wrong becomes a finding,
// and the read returns the fallback so that reading can go on to the next.
class JsonObjectReader {
 public:
  using ItemReader =
      std::function<void(const nlohmann::json& item, const std::string& place)>;

  // The value and the findings must outlive the reader.
  JsonObjectReader(const nlohmann::json& value,
                   std::string place,
                   Findings& findings);

  // Reads a name (see IsName), any text, a number, or a truth value.
  auto Name(std::string_view key, Presence presence) -> std::string;
  auto Text(std::string_view key, std::size_t longest, Presence presence)
      -> std::string;
  auto Whole(std::string_view key,
             WholeRange range,
             Presence presence,
             std::uint64_t fallback = 0) -> std::uint64_t;
  auto Real(std::string_view key,
            RealRange range,
            Presence presence,
            double fallback = 0.0) -> double;
  auto Flag(std::string_view key, bool fallback) -> bool;

  // Reads one of a few words and returns its position among them.
  auto Word(std::string_view key,
            std::initializer_list<std::string_view> words,
            std::size_t fallback) -> std::size_t;

  // Hands each item of an array to the reader, after checking their number.
  auto Items(std::string_view key,
             WholeRange count,
             Presence presence,
             const ItemReader& reader) -> void;

  // Returns the member, or null when it is absent; counts as read.
  auto Member(std::string_view key, Presence presence) -> const nlohmann::json*;

  // Adds a finding at one of the object's members.
  auto Refuse(std::string_view key, std::string message) -> void;

  // Adds a finding for each member that nothing has read.
  auto Finish() -> void;

  [[nodiscard]] auto place() const -> const std::string& { return place_; }

 private:
  const nlohmann::json& value_;
  std::string place_;
  Findings& findings_;
  std::set<std::string, std::less<>> read_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_JSON_OBJECT_READER_H_
