#ifndef LIBZINNIASTEP_CORE_HOST_IDENTITY_H_
#define LIBZINNIASTEP_CORE_HOST_IDENTITY_H_

#include <string>

#include "libzinniastep/base/ids.h"

namespace zinniastep {

// Who a process is: its host, its run and its addresses.
struct HostIdentity {
  HostId host;
  Incarnation incarnation = 0;
  // Numeric "address:port" for the system's own messages.
  std::string peer_address;
  // Numeric "address:port" for callers.
  std::string caller_address;
  FailureDomainId domain;
  RegionId region;

  auto operator==(const HostIdentity&) const -> bool = default;

  // Reads or writes the identity with a cereal archive.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(host, incarnation, peer_address, caller_address, domain, region);
  }
};

// The sender of a message.
struct PeerRef {
  HostId host;
  Incarnation incarnation = 0;
  std::string address;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CORE_HOST_IDENTITY_H_
