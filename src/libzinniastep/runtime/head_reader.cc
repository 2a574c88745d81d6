#include "libzinniastep/runtime/head_reader.h"

#include <algorithm>
#include <cctype>

namespace zinniastep {

namespace {

constexpr std::string_view kStatusLine = "HTTP/";
constexpr std::string_view kLength = "content-length";

auto Trimmed(std::string_view text) -> std::string_view {
  constexpr std::string_view kSpaces = " \t\r\n";
  const auto first = text.find_first_not_of(kSpaces);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kSpaces) - first + 1);
}

auto LowerCase(std::string_view text) -> std::string {
  std::string lower(text);
  std::ranges::transform(lower, lower.begin(), [](unsigned char letter) {
    return static_cast<char>(std::tolower(letter));
  });
  return lower;
}

// Whether the status in a status line is 1xx.
auto IsInterim(std::string_view status_line) -> bool {
  const auto space = status_line.find(' ');
  return space != std::string_view::npos &&
         Trimmed(status_line.substr(space)).starts_with('1');
}

}  // namespace

auto HeadReader::TakeLine(std::string_view line) -> bool {
  length_ += line.size();
  if (length_ > kLongestHead) {
    return false;
  }
  if (!is_whole_) {
    Parse(line);
  }
  return true;
}

auto HeadReader::Parse(std::string_view line) -> void {
  if (line.starts_with(kStatusLine)) {
    headers_.clear();
    is_interim_ = IsInterim(line);
    has_two_lengths_ = false;
    return;
  }
  if (line == "\r\n" || line == "\n") {
    is_whole_ = !is_interim_;
    return;
  }
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) {
    return;
  }
  const std::string name = LowerCase(line.substr(0, colon));
  const std::string_view value = Trimmed(line.substr(colon + 1));
  const auto [found, is_new] = headers_.try_emplace(name, value);
  if (!is_new) {
    has_two_lengths_ =
        has_two_lengths_ || (name == kLength && found->second != value);
    found->second = value;
  }
}

}  // namespace zinniastep
