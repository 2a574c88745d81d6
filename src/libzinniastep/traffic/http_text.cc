#include "libzinniastep/traffic/http_text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <string>
#include <vector>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace zinniastep {

namespace {

namespace http = boost::beast::http;

constexpr std::array<std::string_view, 8> kHopByHop = {
    "connection", "keep-alive", "proxy-connection",  "te",
    "trailer",    "upgrade",    "transfer-encoding", "expect"};

}  // namespace

auto SameName(std::string_view a, std::string_view b) -> bool {
  return boost::beast::iequals(FromView(a), FromView(b));
}

auto HeaderValue(const http::fields& fields, std::string_view name)
    -> std::optional<std::string_view> {
  const auto found = fields.find(FromView(name));
  if (found == fields.end()) {
    return std::nullopt;
  }
  return ToView(found->value());
}

auto HasValue(const http::fields& fields,
              std::string_view name,
              std::string_view value) -> bool {
  const auto [first, last] = fields.equal_range(FromView(name));
  return std::any_of(first, last, [value](const auto& field) {
    return ToView(field.value()) == value;
  });
}

auto IsContinueExpected(const http::fields& fields) -> bool {
  const auto found = fields.find(http::field::expect);
  return found != fields.end() &&
         SameName(ToView(found->value()), "100-continue");
}

auto IsFramingSafe(const http::fields& fields) -> bool {
  if (fields.count(http::field::content_length) > 1 ||
      fields.count(http::field::transfer_encoding) > 1 ||
      fields.count(http::field::host) > 1) {
    return false;
  }
  const auto coding = fields.find(http::field::transfer_encoding);
  return coding == fields.end() ||
         (SameName(ToView(coding->value()), "chunked") &&
          fields.count(http::field::content_length) == 0);
}

auto IsHopByHop(const http::fields& fields, std::string_view name) -> bool {
  if (std::ranges::any_of(kHopByHop, [name](std::string_view known) {
        return SameName(known, name);
      })) {
    return true;
  }
  const auto connection = fields.find(http::field::connection);
  return connection != fields.end() &&
         http::token_list(connection->value()).exists(FromView(name));
}

auto EraseHopByHop(http::fields& fields) -> void {
  std::vector<std::string> names;
  for (const auto& field : fields) {
    const std::string_view name = ToView(field.name_string());
    if (IsHopByHop(fields, name)) {
      names.emplace_back(name);
    }
  }
  for (const std::string& name : names) {
    fields.erase(name);
  }
}

auto WholeNumber(std::string_view text) -> std::optional<std::uint32_t> {
  std::uint32_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error == std::errc::invalid_argument ||
      end != text.data() + text.size()) {
    return std::nullopt;
  }
  return error == std::errc() ? value
                              : std::numeric_limits<std::uint32_t>::max();
}

}  // namespace zinniastep
