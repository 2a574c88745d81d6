#ifndef LIBZINNIASTEP_CONFIGURATION_NODE_SETTINGS_H_
#define LIBZINNIASTEP_CONFIGURATION_NODE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/configuration/parsed.h"

namespace zinniastep {

// What one process may use at the most.
struct NodeLimits {
  // Longest body of a caller's request, in bytes.
  std::uint32_t max_body_bytes = 1U << 20U;
  // Callers' requests that are open at the same time.
  std::uint32_t max_calls_in_flight = 2000;
  // Threads that serve callers.
  std::uint32_t caller_threads = 2;

  auto operator==(const NodeLimits&) const -> bool = default;
};

// The settings file of one entry host's daemon. Addresses are numeric
// "address:port".
struct NodeSettings {
  HostId host;
  FailureDomainId domain;
  RegionId region;
  // Where other entry hosts and callers reach this process.
  std::string peer_address;
  std::string caller_address;
  // SHA-256 digest, in hexadecimal, of the key that operators present.
  std::string operator_key_digest;
  // The object API, the host list and the rating service; the last may be
  // empty for "none".
  std::string store_address;
  std::string host_list_address;
  std::string rating_address;
  // Peer addresses of entry hosts to try first.
  std::vector<std::string> seeds;
  // Keys of the messages between hosts and of session tokens: the first signs,
  // all are accepted.
  std::vector<std::string> wire_keys;
  std::vector<std::string> session_keys;
  NodeLimits limits;
  // How long callers may keep the addresses that they were told.
  std::uint32_t address_ttl_seconds = 30;

  auto operator==(const NodeSettings&) const -> bool = default;
};

// Reads settings from JSON, with everything that is wrong with them.
[[nodiscard]] auto ReadNodeSettings(std::string_view text)
    -> Parsed<NodeSettings>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_NODE_SETTINGS_H_
