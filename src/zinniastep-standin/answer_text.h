#ifndef ZINNIASTEP_STANDIN_ANSWER_TEXT_H_
#define ZINNIASTEP_STANDIN_ANSWER_TEXT_H_

#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>

#include "libzinniastep/base/hash.h"

namespace zinniastep::standin {

// Digits of the digests inside an answer's tokens.
inline constexpr std::size_t kDigestDigits = 16;

// Returns the short digest of a prompt or of an attempt's number.
inline auto ShortDigest(std::string_view text) -> std::string {
  std::string digits(kDigestDigits + 1, '\0');
  std::snprintf(digits.data(), digits.size(), "%016llx",
                static_cast<unsigned long long>(StableHash(text)));
  digits.resize(kDigestDigits);
  return digits;
}

// Returns one token of an answer: prompt, attempt, number and count, so that a
// caller can tell a whole answer of its own from any other text.
inline auto TokenText(std::string_view prompt_digest,
                      std::string_view attempt_digest,
                      std::uint32_t number,
                      std::uint32_t count) -> std::string {
  std::string text(prompt_digest);
  text.append("-").append(attempt_digest).append("-");
  text.append(std::to_string(number)).append("/");
  text.append(std::to_string(count)).append(" ");
  return text;
}

// Whether the text is the whole answer of one attempt to the prompt.
inline auto IsWholeAnswer(std::string_view text, std::string_view prompt)
    -> bool {
  const std::string prompt_digest = ShortDigest(prompt);
  const std::size_t attempt_begin = kDigestDigits + 1;
  const std::size_t slash = text.find('/');
  const std::size_t space = text.find(' ');
  if (slash == std::string_view::npos || space == std::string_view::npos ||
      space < slash) {
    return false;
  }
  const std::string_view attempt = text.substr(attempt_begin, kDigestDigits);
  const std::string count_text(text.substr(slash + 1, space - slash - 1));
  const auto count =
      static_cast<std::uint32_t>(std::strtoul(count_text.c_str(), nullptr, 10));
  std::string whole;
  for (std::uint32_t number = 0; number < count; ++number) {
    whole += TokenText(prompt_digest, attempt, number, count);
  }
  return count > 0 && whole == text;
}

}  // namespace zinniastep::standin

#endif  // ZINNIASTEP_STANDIN_ANSWER_TEXT_H_
