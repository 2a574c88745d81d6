#include "libzinniastep/gateway/prompt_part.h"

#include <charconv>
#include <cinttypes>
#include <cstdio>

#include "libzinniastep/base/hash.h"

namespace zinniastep {

namespace {

constexpr std::size_t kMaxDigits = 16;
constexpr int kHexadecimal = 16;

}  // namespace

auto ReadPromptPartId(std::string_view text) -> PromptPartId {
  while (text.starts_with(' ')) {
    text.remove_prefix(1);
  }
  while (text.ends_with(' ')) {
    text.remove_suffix(1);
  }
  PromptPartId part = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, part, kHexadecimal);
  if (result.ec == std::errc() && result.ptr == end &&
      text.size() <= kMaxDigits) {
    return part;
  }
  return StableHash(text);
}

auto ToText(PromptPartId part) -> std::string {
  char text[kMaxDigits + 1];
  std::snprintf(text, sizeof text, "%" PRIx64, part);
  return text;
}

auto ToText(std::span<const PromptPartId> parts) -> std::string {
  std::string text;
  for (const PromptPartId part : parts) {
    text += (text.empty() ? "" : ",") + ToText(part);
  }
  return text;
}

}  // namespace zinniastep
