#ifndef LIBZINNIASTEP_CONFIGURATION_CONFIGURATION_SETTINGS_H_
#define LIBZINNIASTEP_CONFIGURATION_CONFIGURATION_SETTINGS_H_

#include <cstddef>

#include "libzinniastep/base/time.h"

namespace zinniastep {

// Longest time that a host serves without news: a sign, direct or relayed,
// from a host in contact with the object API or with a majority of the hosts.
inline constexpr Duration kNewsLimit = std::chrono::seconds(9);

// How configuration is spread and how often.
struct ConfigurationSettings {
  Duration news_limit = kNewsLimit;
  // Time between two comparisons with a random peer, and between two waves
  // along the region's tree.
  Duration digest_period = std::chrono::seconds(1);
  Duration wave_period = std::chrono::seconds(1);
  // A host that no wave has reached for this time starts one of its own.
  Duration wave_timeout = std::chrono::milliseconds(1500);
  // Hosts that a change is announced to, and an urgent one.
  std::size_t fan_out = 3;
  std::size_t urgent_fan_out = 6;
  // A content that does not come within this time is asked for again.
  Duration pull_timeout = std::chrono::milliseconds(500);
  // Watchers read one object when the object API was silent for this time.
  Duration store_probe_period = std::chrono::milliseconds(1500);
  // Wait after the object API did not answer.
  Duration store_retry = std::chrono::seconds(1);
  // The root lists everything this often, in case a watch has missed a change.
  Duration relist_period = std::chrono::seconds(120);
  // A host that no peer has brought up to date for this time, and up to as
  // long again, lists everything itself.
  Duration start_patience = std::chrono::seconds(3);
  // A host that has listed everything waits this long for a peer that knows
  // better.
  Duration peer_patience = std::chrono::seconds(2);
  // Requests to the object API that are not answered count as silent.
  Duration list_timeout = std::chrono::seconds(10);
  Duration watch_timeout = std::chrono::seconds(40);
  // Time between two writes of the region's status.
  Duration status_period = std::chrono::seconds(5);
  // A gap between two events that counts as a pause of this process.
  Duration pause = std::chrono::seconds(2);
  // How long a host that is gone counts as one of the known hosts.
  Duration remember_hosts = std::chrono::minutes(10);
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_CONFIGURATION_SETTINGS_H_
