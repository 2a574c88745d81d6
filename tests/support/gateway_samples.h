#ifndef TESTS_SUPPORT_GATEWAY_SAMPLES_H_
#define TESTS_SUPPORT_GATEWAY_SAMPLES_H_

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/backend_entry.h"
#include "libzinniastep/gateway/traffic_policy.h"

namespace zinniastep::testing {

// A point in a test's virtual time.
inline auto At(std::int64_t milliseconds) -> Instant {
  return Instant(std::chrono::milliseconds(milliseconds));
}

// A backend server of service "pool".
inline auto Backend(const std::string& id,
                    const std::string& domain = "north",
                    const std::string& version = "v1") -> BackendEntry {
  BackendEntry entry;
  entry.id = BackendServerId(id);
  entry.service = ServiceId("pool");
  entry.address = "127.0.0.1:1";
  entry.domain = FailureDomainId(domain);
  entry.version = version;
  entry.slots = 4;
  entry.started = 1;
  entry.sequence = 1;
  return entry;
}

// A view with these servers, all warm unless said otherwise.
inline auto View(const std::vector<BackendEntry>& entries)
    -> std::shared_ptr<TrafficView> {
  auto view = std::make_shared<TrafficView>();
  view->regions = {{FailureDomainId("north"), RegionId("here")},
                   {FailureDomainId("south"), RegionId("here")},
                   {FailureDomainId("far"), RegionId("there")}};
  for (const BackendEntry& entry : entries) {
    view->backends.push_back({entry, At(0) + entry.cold_left});
  }
  return view;
}

}  // namespace zinniastep::testing

#endif  // TESTS_SUPPORT_GATEWAY_SAMPLES_H_
