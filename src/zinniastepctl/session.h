#ifndef ZINNIASTEPCTL_SESSION_H_
#define ZINNIASTEPCTL_SESSION_H_

#include <cstdint>
#include <ostream>
#include <string>

#include <absl/status/statusor.h>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/operations/object_client.h"
#include "libzinniastep/runtime/http_client.h"

namespace zinniastep::ctl {

// What one run of the program works with.
struct Session {
  const HttpClient& http;
  ObjectClient& objects;
  // An entry host's caller address; empty for none.
  std::string host_address;
  std::string operator_key;
  bool json = false;
  std::ostream& out;
  std::ostream& err;
};

// Asks the entry host and returns the answer's body.
[[nodiscard]] auto AskHost(const Session& session,
                           const std::string& method,
                           const std::string& path)
    -> absl::StatusOr<std::string>;

// Returns the highest generation of an object that the regions' status or the
// entry host shows to be in force; zero when neither knows it.
[[nodiscard]] auto InForceGeneration(const Session& session,
                                     const ObjectPath& path) -> std::uint64_t;

}  // namespace zinniastep::ctl

#endif  // ZINNIASTEPCTL_SESSION_H_
