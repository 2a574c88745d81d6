#ifndef LIBZINNIASTEP_NODE_NODE_VIEWS_H_
#define LIBZINNIASTEP_NODE_NODE_VIEWS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/core/host_identity.h"

namespace zinniastep {

// Where callers should send requests, and for how long that holds.
struct AddressAdvice {
  // Numeric "address:port", best first.
  std::vector<std::string> addresses;
  Duration time_to_live{0};
  // Prefix for idempotency keys whose authority is this process.
  std::string key_prefix;
};

// What an account may use.
struct ModelAdvice {
  bool authenticated = false;
  // Models, versions, cascades and services, by name.
  std::vector<std::string> names;
};

// One configuration object in force.
struct ConfigurationState {
  ObjectPath path;
  std::uint64_t generation = 0;
};

// What a host tells operators about itself.
struct NodeState {
  HostIdentity self;
  bool ready = false;
  bool draining = false;
  bool has_news = false;
  std::size_t open_requests = 0;
  std::size_t unflushed_bills = 0;
  std::uint64_t exposed_bills = 0;
  std::vector<HostIdentity> members;
  std::vector<ConfigurationState> configuration;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_NODE_NODE_VIEWS_H_
