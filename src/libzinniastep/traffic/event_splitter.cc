#include "libzinniastep/traffic/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace zinniastep {

namespace {

constexpr std::string_view kEmptyLine = "\n\n";
constexpr std::string_view kEmptyLineWithReturns = "\r\n\r\n";

// Returns where the first empty line after a position ends, or npos.
auto EndOfEvent(std::string_view text, std::size_t from) -> std::size_t {
  const auto lines = text.find(kEmptyLine, from);
  const auto returns = text.find(kEmptyLineWithReturns, from);
  if (lines == std::string_view::npos && returns == std::string_view::npos) {
    return std::string_view::npos;
  }
  return lines < returns ? lines + kEmptyLine.size()
                         : returns + kEmptyLineWithReturns.size();
}

auto ReadFields(StreamEvent& read) -> void {
  constexpr std::string_view kId = "id:";
  constexpr std::string_view kData = "data";
  std::string_view event = read.text;
  while (!event.empty()) {
    const auto end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event = end == std::string_view::npos ? std::string_view()
                                          : event.substr(end + 1);
    read.has_data = read.has_data || line.starts_with(kData);
    if (read.id.has_value() || !line.starts_with(kId)) {
      continue;
    }
    line.remove_prefix(kId.size());
    while (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    std::uint64_t id = 0;
    const auto result =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (result.ec == std::errc()) {
      read.id = id;
    }
  }
}

}  // namespace

auto EventSplitter::Next() -> std::optional<StreamEvent> {
  // An end may have begun in what was searched before.
  constexpr std::size_t kOverlap = kEmptyLineWithReturns.size() - 1;
  const std::size_t from =
      std::max(begin_, searched_ > kOverlap ? searched_ - kOverlap : 0);
  const std::size_t end = EndOfEvent(pending_, from);
  if (end == std::string_view::npos) {
    pending_.erase(0, begin_);
    begin_ = 0;
    searched_ = pending_.size();
    return std::nullopt;
  }
  StreamEvent event{pending_.substr(begin_, end - begin_), std::nullopt, false};
  begin_ = searched_ = end;
  ReadFields(event);
  return event;
}

auto EventSplitter::Reset() -> void {
  pending_.clear();
  begin_ = searched_ = 0;
}

}  // namespace zinniastep
