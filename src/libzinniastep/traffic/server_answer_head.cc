#include "libzinniastep/traffic/server_answer_head.h"

#include <array>
#include <cstddef>
#include <cstdint>

#include "libzinniastep/traffic/http_text.h"

namespace zinniastep {

namespace {

constexpr std::size_t kLeastFigures = 3;
constexpr std::size_t kMostFigures = 4;
constexpr std::uint32_t kFullConfidence = 100;

}  // namespace

auto PromisesNotRun(unsigned status) -> bool {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

auto ParseServerLoad(std::string_view text) -> std::optional<ServerLoad> {
  std::array<std::uint32_t, kMostFigures> figures{};
  std::size_t count = 0;
  for (bool is_more = true; is_more; ++count) {
    const auto comma = text.find(',');
    const auto value = WholeNumber(text.substr(0, comma));
    if (!value.has_value() || count == kMostFigures) {
      return std::nullopt;
    }
    figures.at(count) = *value;
    is_more = comma != std::string_view::npos;
    text = is_more ? text.substr(comma + 1) : std::string_view();
  }
  if (count < kLeastFigures) {
    return std::nullopt;
  }
  ServerLoad load{figures[0], figures[1], figures[2], std::nullopt};
  if (count == kMostFigures) {
    load.pace_percent = figures[3];
  }
  return load;
}

auto ParseConfidence(std::string_view text) -> std::optional<std::uint32_t> {
  const auto value = WholeNumber(text);
  return value.has_value() && *value <= kFullConfidence ? value : std::nullopt;
}

auto ReadServerAnswerHead(const AnswerHead& head,
                          const ForwardingHeaders& names) -> ServerAnswerHead {
  ServerAnswerHead answer;
  const unsigned status = head.result_int();
  answer.is_misdirected = status == 421;
  answer.is_not_run = answer.is_misdirected ||
                      (HeaderValue(head, names.not_executed).has_value() &&
                       PromisesNotRun(status));
  answer.is_failure =
      !answer.is_not_run && (status >= 500 || PromisesNotRun(status));
  answer.is_stream = status == 200 && HeaderValue(head, "Content-Type")
                                          .value_or(std::string_view())
                                          .starts_with("text/event-stream");
  if (const auto load = HeaderValue(head, names.server_load)) {
    answer.load = ParseServerLoad(*load);
    answer.has_odd_load = !answer.load.has_value();
  }
  if (const auto confidence = HeaderValue(head, names.confidence)) {
    answer.confidence = ParseConfidence(*confidence);
  }
  return answer;
}

}  // namespace zinniastep
