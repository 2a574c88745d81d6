#include "libzinniastep/node/address_list.h"

#include <algorithm>
#include <deque>
#include <map>

#include "libzinniastep/base/hash.h"

namespace zinniastep {

namespace {

using Group = std::deque<const HostIdentity*>;
using Groups = std::map<FailureDomainId, Group>;

auto AppendInTurns(Groups& groups,
                   std::size_t most,
                   std::vector<std::string>& addresses) -> void {
  bool any = true;
  while (any && addresses.size() < most) {
    any = false;
    for (auto& [domain, hosts] : groups) {
      if (hosts.empty() || addresses.size() >= most) {
        continue;
      }
      addresses.push_back(hosts.front()->caller_address);
      hosts.pop_front();
      any = true;
    }
  }
}

auto SortFor(const HostIdentity& self, Groups& groups) -> void {
  const auto rank = [&self](const HostIdentity* host) {
    return StableHash(host->host.text(), StableHash(self.host.text()));
  };
  for (auto& [domain, hosts] : groups) {
    std::ranges::sort(hosts, {}, rank);
  }
}

}  // namespace

auto CallerAddresses(const Membership& membership,
                     const HostIdentity& self,
                     bool self_leaves,
                     std::size_t most) -> std::vector<std::string> {
  Groups near;
  Groups far;
  for (const HostIdentity& host : membership.live_hosts()) {
    const bool leaves = membership.IsLeaving(host.host) ||
                        membership.IsListedLeaving(host.host);
    if (leaves || host.host == self.host) {
      continue;
    }
    Groups& groups = host.region == self.region ? near : far;
    groups[host.domain].push_back(&host);
  }
  SortFor(self, near);
  SortFor(self, far);
  std::vector<std::string> addresses;
  if (!self_leaves) {
    addresses.push_back(self.caller_address);
  }
  AppendInTurns(near, most, addresses);
  AppendInTurns(far, most, addresses);
  return addresses;
}

}  // namespace zinniastep
