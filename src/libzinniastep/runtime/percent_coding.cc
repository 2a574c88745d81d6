#include "libzinniastep/runtime/percent_coding.h"

#include <cctype>
#include <charconv>
#include <cstddef>

namespace zinniastep {
namespace {

constexpr std::string_view kHexDigits = "0123456789ABCDEF";
constexpr int kHexBase = 16;

auto IsHex(char c) -> bool {
  return std::isxdigit(static_cast<unsigned char>(c)) != 0;
}

auto IsPlain(char c) -> bool {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
         std::string_view("-._~/").find(c) != std::string_view::npos;
}

}  // namespace

auto PercentDecode(std::string_view text) -> std::string {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool coded = text[i] == '%' && i + 2 < text.size() &&
                       IsHex(text[i + 1]) && IsHex(text[i + 2]);
    if (!coded) {
      decoded.push_back(text[i]);
      continue;
    }
    unsigned char byte = 0;
    std::from_chars(text.data() + i + 1, text.data() + i + 3, byte, kHexBase);
    decoded.push_back(static_cast<char>(byte));
    i += 2;
  }
  return decoded;
}

auto PercentEncode(std::string_view text) -> std::string {
  std::string encoded;
  for (const char c : text) {
    if (IsPlain(c)) {
      encoded.push_back(c);
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded.push_back('%');
    encoded.push_back(kHexDigits[byte >> 4U]);
    encoded.push_back(kHexDigits[byte & 0xFU]);
  }
  return encoded;
}

}  // namespace zinniastep
