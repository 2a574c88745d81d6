#ifndef LIBZINNIASTEP_CORE_NOTICE_H_
#define LIBZINNIASTEP_CORE_NOTICE_H_

#include <cstdint>
#include <string>
#include <variant>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/core/call.h"

namespace zinniastep {

// The key's authority allows the request to run, here and nowhere else.
struct ClaimGranted {};
// The key's request has run before; this was its answer.
struct ClaimReplayed {
  SharedAnswer answer;
};
// The request may not run.
struct ClaimRefused {
  Refusal refusal;
};
// The verdict on an idempotency key.
struct ClaimDecided {
  RequestId request;
  std::variant<ClaimGranted, ClaimReplayed, ClaimRefused> verdict;
};

// A steward's permission for one attempt at one backend server.
struct Credit {
  std::uint64_t id = 0;
  HostId steward;
  BackendServerId server;
  std::string address;
  Incarnation server_incarnation = 0;
  // Empty for a plain service.
  ModelVersion version;
  FailureDomainId domain;
  // Latest time of the send, on this host's own clock.
  Instant use_before;
};
struct CreditGranted {
  Credit credit;
};
struct CreditRefused {
  std::string reason;
  Duration retry_after{0};
};
// The answer to a request for a credit.
struct CreditDecided {
  RequestId request;
  std::variant<CreditGranted, CreditRefused> verdict;
};

// The request's bill is kept at another host, or in the object API, so that
// the last byte of the answer may go out.
struct BillSecured {
  RequestId request;
};

// Another host was seen for the first time, or is lost.
struct HostJoined {
  HostId host;
  Incarnation incarnation = 0;
};
struct HostLost {
  HostId host;
  Incarnation incarnation = 0;
};

// A newer generation of a configuration object is in force on this host.
struct ConfigurationChanged {
  ObjectPath path;
  std::uint64_t generation = 0;
};

// The assignment of cells or key shards has changed.
struct AssignmentChanged {
  // The failure domain whose table changed; empty for the key shards.
  FailureDomainId domain;
};

// The evidence against a version is strong enough to stop using it for new
// work on this host at once.
struct VersionAlarmed {
  ModelVersion version;
  std::string reason;
};

using Notice = std::variant<ClaimDecided,
                            CreditDecided,
                            BillSecured,
                            HostJoined,
                            HostLost,
                            ConfigurationChanged,
                            AssignmentChanged,
                            VersionAlarmed>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CORE_NOTICE_H_
