#include "libzinniastep/configuration/known_hosts.h"

namespace zinniastep {

auto KnownHosts::Observe(Instant now, const std::vector<HostIdentity>& live)
    -> void {
  for (const HostIdentity& host : live) {
    seen_[host.host] = now;
  }
  std::erase_if(
      seen_, [&](const auto& entry) { return now - entry.second > remember_; });
}

}  // namespace zinniastep
