#ifndef LIBZINNIASTEP_TRAFFIC_FORWARDED_REQUEST_H_
#define LIBZINNIASTEP_TRAFFIC_FORWARDED_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libzinniastep/base/time.h"
#include "libzinniastep/traffic/caller_connection.h"
#include "libzinniastep/traffic/forwarding_headers.h"

namespace zinniastep {

// What this host sets in a request that it sends to a backend server. Fields
// without a value are left as the caller sent them or, where callers may not
// send them, out.
struct ForwardedFields {
  Duration time_left{0};
  std::string_view expected_server;
  std::optional<std::string_view> account;
  std::optional<std::string_view> model;
  std::optional<std::uint64_t> last_event;
  std::optional<std::uint32_t> urgency;
};

// Returns the bytes of a caller's request as a backend server gets it.
[[nodiscard]] auto ForwardedRequestText(const CallerRequest& request,
                                        const ForwardingHeaders& names,
                                        const ForwardedFields& fields)
    -> std::string;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_TRAFFIC_FORWARDED_REQUEST_H_
