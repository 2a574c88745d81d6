#ifndef LIBZINNIASTEP_TRAFFIC_SOCKET_ADDRESS_H_
#define LIBZINNIASTEP_TRAFFIC_SOCKET_ADDRESS_H_

#include <string_view>

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>

namespace zinniastep {

// Reads a numeric "address:port".
[[nodiscard]] auto ParseEndpoint(std::string_view address)
    -> absl::StatusOr<boost::asio::ip::tcp::endpoint>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_TRAFFIC_SOCKET_ADDRESS_H_
