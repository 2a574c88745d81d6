#include "libzinniastep/traffic/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace zinniastep {

namespace {

// Returns the length of the first event with its empty line, or zero.
auto EventLength(std::string_view text) -> std::size_t {
  const auto lines = text.find("\n\n");
  const auto returns = text.find("\r\n\r\n");
  const std::size_t by_lines =
      lines == std::string_view::npos ? std::string_view::npos : lines + 2;
  const std::size_t by_returns =
      returns == std::string_view::npos ? std::string_view::npos : returns + 4;
  const std::size_t first = std::min(by_lines, by_returns);
  return first == std::string_view::npos ? 0 : first;
}

auto EventId(std::string_view event) -> std::optional<std::uint64_t> {
  constexpr std::string_view kField = "id:";
  while (!event.empty()) {
    const auto end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event = end == std::string_view::npos ? std::string_view()
                                          : event.substr(end + 1);
    if (!line.starts_with(kField)) {
      continue;
    }
    line.remove_prefix(kField.size());
    while (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    std::uint64_t id = 0;
    const auto result =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (result.ec == std::errc()) {
      return id;
    }
  }
  return std::nullopt;
}

}  // namespace

auto EventSplitter::Next() -> std::optional<StreamEvent> {
  const std::size_t length = EventLength(pending_);
  if (length == 0) {
    return std::nullopt;
  }
  StreamEvent event{pending_.substr(0, length), std::nullopt};
  pending_.erase(0, length);
  event.id = EventId(event.text);
  return event;
}

}  // namespace zinniastep
