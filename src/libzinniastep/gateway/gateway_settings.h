#ifndef LIBZINNIASTEP_GATEWAY_GATEWAY_SETTINGS_H_
#define LIBZINNIASTEP_GATEWAY_GATEWAY_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libzinniastep/base/finding.h"
#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"

namespace zinniastep {

// The most that a host holds by default, also when its memory is large.
inline constexpr std::size_t kDefaultHeldBytes = std::size_t{64} << 20U;

// The settings of one gateway process. All addresses are numeric
// "address:port".
struct GatewaySettings {
  HostId host;
  FailureDomainId domain;
  RegionId region;
  // All failure domains with their regions.
  std::vector<std::pair<FailureDomainId, RegionId>> regions;
  // Where callers send requests, query whether this host is ready, and look up
  // addresses.
  std::string caller_address;
  std::string ready_address;
  std::string directory_address;
  // Where metrics are served; empty disables them.
  std::string metrics_address;
  std::string peer_address;
  // Hosts to join through, at the port of `peer_address`, whichever port the
  // settings name.
  std::vector<std::string> seeds;
  std::string store_address;
  // Keys for messages between hosts: the first one signs, all are accepted.
  std::vector<std::string> signing_keys;
  // Time that a graceful shutdown may take.
  Duration shutdown_time{0};
  // After this time a server that left must get no more requests.
  Duration leaving_time{0};
  // After these times a new configuration has to be in force, a failed version
  // to be withdrawn, and a failure domain that was taken out to get no more
  // requests.
  Duration configuration_time{0};
  Duration rollback_time{0};
  Duration evacuation_time{0};
  // Longest time that callers keep an answer of the directory.
  Duration longest_address_lifetime{0};
  // Repeats that all hosts together may send to a service: a share of its
  // requests, plus a fixed number.
  double repeat_share = 0.0;
  double repeat_slack = 0.0;
  // The span in which repeats are counted.
  Duration repeat_window{0};
  std::size_t most_descriptors = 1024;
  // Bytes that the host holds for all callers together at the most: requests,
  // and answers that are not complete or not taken yet.
  std::size_t most_held_bytes = kDefaultHeldBytes;
  // Longest time in which a caller takes no byte of its answer.
  Duration answer_stall = std::chrono::seconds(60);
};

// Connections that may be open at the callers' address, and at each of the
// others. A quarter of the descriptors stays for peers, the store and servers.
[[nodiscard]] auto MostCallers(const GatewaySettings& settings) -> std::size_t;
[[nodiscard]] auto MostAskers(const GatewaySettings& settings) -> std::size_t;

// The settings, or the errors found in them.
struct ParsedGatewaySettings {
  std::optional<GatewaySettings> value;
  Findings findings;
};

// Reads settings in JSON and collects all findings.
[[nodiscard]] auto ReadGatewaySettings(std::string_view text)
    -> ParsedGatewaySettings;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_GATEWAY_SETTINGS_H_
