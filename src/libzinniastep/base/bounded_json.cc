#include "libzinniastep/base/bounded_json.h"

#include <algorithm>
#include <string>
#include <utility>

namespace zinniastep {

namespace {

using nlohmann::json;

constexpr std::string_view kSpaces = " \t\r\n";

auto IsOpening(char c) -> bool {
  return c == '{' || c == '[';
}

auto IsClosing(char c) -> bool {
  return c == '}' || c == ']';
}

// Returns the position after a string that begins at `at` with its quote, or
// npos if it has no end.
auto EndOfString(std::string_view text, std::size_t at) -> std::size_t {
  for (std::size_t i = at + 1; i < text.size(); ++i) {
    if (text[i] == '\\') {
      ++i;
    } else if (text[i] == '"') {
      return i + 1;
    }
  }
  return std::string_view::npos;
}

// Returns the position after the value that begins at `at`: the comma or the
// closing bracket around it, or npos if the text ends before.
auto EndOfValue(std::string_view text, std::size_t at) -> std::size_t {
  std::size_t depth = 0;
  while (at < text.size()) {
    const char c = text[at];
    if (c == '"') {
      at = EndOfString(text, at);
      if (at == std::string_view::npos) {
        return at;
      }
      continue;
    }
    if (depth == 0 && (c == ',' || IsClosing(c))) {
      return at;
    }
    if (IsOpening(c)) {
      ++depth;
    } else if (IsClosing(c)) {
      --depth;
    }
    ++at;
  }
  return std::string_view::npos;
}

auto SkipSpaces(std::string_view text, std::size_t at) -> std::size_t {
  return std::min(text.find_first_not_of(kSpaces, at), text.size());
}

auto Trimmed(std::string_view text) -> std::string_view {
  const auto last = text.find_last_not_of(kSpaces);
  return last == std::string_view::npos ? std::string_view()
                                        : text.substr(0, last + 1);
}

// Calls `take` for the position of each part between the outer brackets; it
// returns the position after the part, or npos to give up. Returns whether the
// text is well formed around the parts.
template <class Take>
auto ForEachPart(std::string_view text, char open, char close, Take take)
    -> bool {
  std::size_t at = SkipSpaces(text, 0);
  if (at >= text.size() || text[at] != open) {
    return false;
  }
  at = SkipSpaces(text, at + 1);
  if (at < text.size() && text[at] == close) {
    return SkipSpaces(text, at + 1) == text.size();
  }
  for (;;) {
    at = take(at);
    if (at >= text.size()) {
      return false;
    }
    if (text[at] == close) {
      return SkipSpaces(text, at + 1) == text.size();
    }
    if (text[at] != ',') {
      return false;
    }
    at = SkipSpaces(text, at + 1);
  }
}

}  // namespace

auto IsNestedTooDeeply(std::string_view text) -> bool {
  std::size_t depth = 0;
  for (std::size_t at = 0; at < text.size(); ++at) {
    const char c = text[at];
    if (c == '"') {
      at = EndOfString(text, at);
      if (at == std::string_view::npos) {
        return false;
      }
      --at;
    } else if (IsOpening(c) && ++depth > kMostJsonDepth) {
      return true;
    } else if (IsClosing(c) && depth > 0) {
      --depth;
    }
  }
  return false;
}

auto ParseBoundedJson(std::string_view text) -> absl::StatusOr<json> {
  if (IsNestedTooDeeply(text)) {
    return absl::InvalidArgumentError(
        "nested more than " + std::to_string(kMostJsonDepth) + " levels deep");
  }
  try {
    return json::parse(text);
  } catch (const json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

auto JsonOrDiscarded(std::string_view text) -> json {
  return IsNestedTooDeeply(text) ? json(json::value_t::discarded)
                                 : json::parse(text, nullptr, false);
}

auto JsonOrThrow(std::string_view text) -> json {
  if (IsNestedTooDeeply(text)) {
    throw json::other_error::create(500, "nested too deeply", nullptr);
  }
  return json::parse(text);
}

auto WholeOrThrow(const json& value, std::uint64_t most) -> std::uint64_t {
  const auto number = WholeJsonNumber(value, 0, most);
  if (!number.has_value()) {
    throw json::type_error::create(302, "not a whole number in range", &value);
  }
  return *number;
}

auto SplitJsonArray(std::string_view text)
    -> std::optional<std::vector<std::string_view>> {
  std::vector<std::string_view> items;
  const bool is_array = ForEachPart(text, '[', ']', [&](std::size_t at) {
    const std::size_t end = EndOfValue(text, at);
    if (end != std::string_view::npos) {
      items.push_back(Trimmed(text.substr(at, end - at)));
    }
    return end;
  });
  return is_array ? std::optional(std::move(items)) : std::nullopt;
}

auto SplitJsonObject(std::string_view text)
    -> std::optional<std::vector<JsonMember>> {
  std::vector<JsonMember> members;
  const bool is_object = ForEachPart(text, '{', '}', [&](std::size_t at) {
    if (text[at] != '"') {
      return std::string_view::npos;
    }
    const std::size_t name_end = EndOfString(text, at);
    if (name_end == std::string_view::npos) {
      return name_end;
    }
    const std::size_t colon = SkipSpaces(text, name_end);
    if (colon >= text.size() || text[colon] != ':') {
      return std::string_view::npos;
    }
    const std::size_t value = SkipSpaces(text, colon + 1);
    const std::size_t end = EndOfValue(text, value);
    if (end != std::string_view::npos) {
      members.push_back({text.substr(at + 1, name_end - at - 2),
                         Trimmed(text.substr(value, end - value))});
    }
    return end;
  });
  return is_object ? std::optional(std::move(members)) : std::nullopt;
}

auto FindMember(std::span<const JsonMember> members, std::string_view name)
    -> std::string_view {
  std::string_view found;
  for (const JsonMember& member : members) {
    if (member.name == name) {
      found = member.value;
    }
  }
  return found;
}

auto WholeJsonNumber(const json& value, std::uint64_t least, std::uint64_t most)
    -> std::optional<std::uint64_t> {
  if (!value.is_number_unsigned()) {
    return std::nullopt;
  }
  const auto number = value.get<std::uint64_t>();
  return number >= least && number <= most ? std::optional(number)
                                           : std::nullopt;
}

auto RealJsonNumber(const json& value, double least, double most)
    -> std::optional<double> {
  if (!value.is_number()) {
    return std::nullopt;
  }
  const auto number = value.get<double>();
  return number >= least && number <= most ? std::optional(number)
                                           : std::nullopt;
}

}  // namespace zinniastep
