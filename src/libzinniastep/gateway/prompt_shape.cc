#include "libzinniastep/gateway/prompt_shape.h"

#include <charconv>
#include <vector>

#include "libzinniastep/base/hash.h"

namespace zinniastep {

namespace {

auto Split(std::string_view text, char separator)
    -> std::vector<std::string_view> {
  std::vector<std::string_view> parts;
  while (!text.empty()) {
    const auto at = text.find(separator);
    parts.push_back(text.substr(0, at));
    text =
        at == std::string_view::npos ? std::string_view() : text.substr(at + 1);
  }
  return parts;
}

auto Number(std::string_view text) -> double {
  while (text.starts_with(' ')) {
    text.remove_prefix(1);
  }
  std::uint32_t value = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return result.ec == std::errc() ? value : 0.0;
}

}  // namespace

auto ReadPromptShape(std::string_view parts, std::string_view counts)
    -> PromptShape {
  PromptShape shape;
  const auto numbers = Split(counts, ',');
  if (!numbers.empty()) {
    shape.prompt_tokens = Number(numbers[0]);
  }
  if (numbers.size() > 1) {
    shape.output_tokens = Number(numbers[1]);
  }
  const auto entries = Split(parts, ',');
  for (std::size_t index = 0; index < entries.size(); ++index) {
    const auto colon = entries[index].find(':');
    const std::string_view id = entries[index].substr(0, colon);
    if (index + 1 == entries.size()) {
      shape.session = index == 0 ? StableHash(id) : shape.shared;
      break;
    }
    shape.shared = StableHash(id, shape.shared);
    if (shape.shared_parts.size() < kMaxSharedParts) {
      shape.shared_parts.push_back(ReadPromptPartId(id));
    }
    if (colon != std::string_view::npos) {
      shape.shared_tokens += Number(entries[index].substr(colon + 1));
    }
  }
  return shape;
}

}  // namespace zinniastep
