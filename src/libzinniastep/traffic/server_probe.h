#ifndef LIBZINNIASTEP_TRAFFIC_SERVER_PROBE_H_
#define LIBZINNIASTEP_TRAFFIC_SERVER_PROBE_H_

#include <functional>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/ending_watch.h"

namespace zinniastep {

// Opens a connection to a numeric "address:port", closes it without a byte, and
// calls `on_result` once. A malformed address has no answer, and so has one at
// which nothing is decided within `timeout`.
auto ProbeServer(boost::asio::io_context& io,
                 std::string_view address,
                 Duration timeout,
                 std::function<void(ProbeResult)> on_result) -> void;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_TRAFFIC_SERVER_PROBE_H_
