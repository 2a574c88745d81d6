#include "libzinniastep/configuration/numeric_address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <cstdint>
#include <string>

namespace zinniastep {

namespace {

auto IsPort(std::string_view text) -> bool {
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, port);
  return result.ec == std::errc() && result.ptr == end && port != 0;
}

auto IsIp(int family, std::string_view text) -> bool {
  std::array<unsigned char, sizeof(in6_addr)> buffer{};
  return inet_pton(family, std::string(text).c_str(), buffer.data()) == 1;
}

}  // namespace

auto IsNumericAddress(std::string_view text) -> bool {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || text.find('\0') != text.npos) {
    return false;
  }
  const std::string_view address = text.substr(0, colon);
  if (!IsPort(text.substr(colon + 1))) {
    return false;
  }
  if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
    return IsIp(AF_INET6, address.substr(1, address.size() - 2));
  }
  return IsIp(AF_INET, address);
}

}  // namespace zinniastep
