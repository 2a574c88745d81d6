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

// The status in a status line, as it is written.
auto StatusIn(std::string_view status_line) -> std::string_view {
  const auto space = status_line.find(' ');
  if (space == std::string_view::npos) {
    return {};
  }
  const std::string_view rest = Trimmed(status_line.substr(space));
  return rest.substr(0, rest.find(' '));
}

// Whether a status is one of 100 to 599; HTTP has no class for others.
auto IsHttpStatus(std::string_view status) -> bool {
  return status.size() == 3 && status[0] >= '1' && status[0] <= '5' &&
         status.find_first_not_of("0123456789") == std::string_view::npos;
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
    const std::string_view status = StatusIn(line);
    has_http_status_ = IsHttpStatus(status);
    is_interim_ = status.starts_with('1');
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
