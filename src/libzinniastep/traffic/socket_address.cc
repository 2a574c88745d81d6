#include "libzinniastep/traffic/socket_address.h"

#include <charconv>
#include <string>

#include <boost/asio/ip/address.hpp>

namespace zinniastep {

auto ParseEndpoint(std::string_view address)
    -> absl::StatusOr<boost::asio::ip::tcp::endpoint> {
  const auto colon = address.rfind(':');
  if (colon == std::string_view::npos) {
    return absl::InvalidArgumentError("address without a port");
  }
  const std::string_view digits = address.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  boost::system::error_code bad_address;
  const auto ip = boost::asio::ip::make_address(
      std::string(address.substr(0, colon)), bad_address);
  if (error != std::errc() || end != digits.data() + digits.size() ||
      bad_address) {
    return absl::InvalidArgumentError("not a numeric address and port");
  }
  return boost::asio::ip::tcp::endpoint(ip, port);
}

}  // namespace zinniastep
