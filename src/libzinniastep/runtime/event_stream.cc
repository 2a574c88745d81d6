#include "libzinniastep/runtime/event_stream.h"

#include <algorithm>
#include <limits>

#include <nlohmann/json.hpp>

#include "libzinniastep/base/bounded_json.h"

namespace zinniastep {

namespace {

constexpr std::size_t kLongestEvent = 256U << 10U;
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataPrefix = "data: ";

auto Tokens(double stated) -> std::uint32_t {
  constexpr double kMost = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp(stated, 0.0, kMost));
}

}  // namespace

auto ReadUsage(std::string_view json, AttemptUsage& usage) -> void {
  const auto parsed = JsonOrDiscarded(json);
  if (!parsed.is_object()) {
    return;
  }
  const auto found = parsed.find("usage");
  if (found == parsed.end() || !found->is_object()) {
    return;
  }
  const auto number = [&found](const char* name, double missing) {
    const auto member = found->find(name);
    return member != found->end() && member->is_number() ? member->get<double>()
                                                         : missing;
  };
  usage.prompt_tokens = Tokens(number("prompt_tokens", 0.0));
  usage.completion_tokens = Tokens(number("completion_tokens", 0.0));
  usage.confidence = number("confidence", -1.0);
}

auto EventStream::Feed(std::string_view data) -> std::string {
  pending_.append(data);
  std::string ready;
  std::size_t begin = 0;
  while (true) {
    const auto end = pending_.find(kEventEnd, begin);
    if (end == std::string::npos) {
      break;
    }
    const std::string_view event =
        std::string_view(pending_).substr(begin, end + 2 - begin);
    if (Take(event)) {
      ready.append(event);
    }
    begin = end + kEventEnd.size();
  }
  pending_.erase(0, begin);
  overflowed_ = pending_.size() > kLongestEvent;
  return ready;
}

auto EventStream::Take(std::string_view event) -> bool {
  if (event == kEndMarker) {
    ended_ = true;
    return false;
  }
  if (event.starts_with(kDataPrefix) &&
      event.find("\"usage\"") != std::string_view::npos) {
    ReadUsage(event.substr(kDataPrefix.size()), usage_);
  }
  return true;
}

}  // namespace zinniastep
