#ifndef LIBZINNIASTEP_TRAFFIC_HTTP_TEXT_H_
#define LIBZINNIASTEP_TRAFFIC_HTTP_TEXT_H_

#include <cstdint>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/write.hpp>

namespace zinniastep {

// The library has a string view type of its own.
[[nodiscard]] inline auto ToView(boost::beast::string_view text)
    -> std::string_view {
  return {text.data(), text.size()};
}
[[nodiscard]] inline auto FromView(std::string_view text)
    -> boost::beast::string_view {
  return {text.data(), text.size()};
}

// Returns a message's head as it goes on the wire.
template <bool kIsRequest>
[[nodiscard]] auto HeadText(const boost::beast::http::header<kIsRequest>& head)
    -> std::string {
  std::ostringstream text;
  text << head;
  return std::move(text).str();
}

// Returns a header's value, or nothing.
[[nodiscard]] auto HeaderValue(const boost::beast::http::fields& fields,
                               std::string_view name)
    -> std::optional<std::string_view>;

// Returns whether any header of that name has the value, apart from spaces
// around it.
[[nodiscard]] auto HasValue(const boost::beast::http::fields& fields,
                            std::string_view name,
                            std::string_view value) -> bool;

// Returns whether the sender waits for a go-ahead before its body.
[[nodiscard]] auto IsContinueExpected(const boost::beast::http::fields& fields)
    -> bool;

// Returns whether all readers agree where a request's body ends: at most one
// length, no other transfer coding than chunked, and one host.
[[nodiscard]] auto IsFramingSafe(const boost::beast::http::fields& fields)
    -> bool;

// Returns whether a header concerns one connection only, by its name or since
// the message's Connection header names it.
[[nodiscard]] auto IsHopByHop(const boost::beast::http::fields& fields,
                              std::string_view name) -> bool;

// Removes the headers that concern one connection only.
auto EraseHopByHop(boost::beast::http::fields& fields) -> void;

// Returns the whole number that a header holds, or nothing. One that does not
// fit counts as the largest, so that it also fits in a Duration as seconds.
[[nodiscard]] auto WholeNumber(std::string_view text)
    -> std::optional<std::uint32_t>;

// Returns whether two header names are the same.
[[nodiscard]] auto SameName(std::string_view a, std::string_view b) -> bool;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_TRAFFIC_HTTP_TEXT_H_
