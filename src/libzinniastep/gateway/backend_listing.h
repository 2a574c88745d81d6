#ifndef LIBZINNIASTEP_GATEWAY_BACKEND_LISTING_H_
#define LIBZINNIASTEP_GATEWAY_BACKEND_LISTING_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "libzinniastep/gateway/backend_entry.h"
#include "libzinniastep/gateway/gateway_outbox.h"
#include "libzinniastep/gateway/record_mirror.h"

namespace zinniastep {

// Reads the platform's list of backend servers. Only entries that changed are
// read anew, since thousands may be listed and some change each second. Entries
// that cannot be read name no server.
class BackendListing {
 public:
  using Decoder =
      std::function<absl::StatusOr<BackendEntry>(const StoredRecord&)>;

  explicit BackendListing(Decoder decoder);

  // Takes the list as it is now, and logs what is new in it.
  auto Update(const std::map<std::string, StoredRecord>& records,
              GatewayOutbox& outbox) -> void;

  // Returns the entries that could be read, by name.
  [[nodiscard]] auto entries() const -> std::vector<BackendEntry>;

 private:
  struct Item {
    std::uint64_t revision = 0;
    absl::StatusOr<BackendEntry> entry;
  };

  auto Read(const StoredRecord& record, GatewayOutbox& outbox) -> void;

  Decoder decoder_;
  std::map<std::string, Item> items_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_BACKEND_LISTING_H_
