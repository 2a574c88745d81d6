#ifndef LIBZINNIASTEP_GATEWAY_BACKEND_LISTING_H_
#define LIBZINNIASTEP_GATEWAY_BACKEND_LISTING_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "libzinniastep/gateway/backend_entry.h"
#include "libzinniastep/gateway/gateway_outbox.h"
#include "libzinniastep/gateway/record_mirror.h"

namespace zinniastep {

// Decodes the platform's list of backend servers. Only changed entries are
// decoded again, since thousands may be listed and some change each second.
// Entries that cannot be decoded are left out.
class BackendListing {
 public:
  using Decoder =
      std::function<absl::StatusOr<BackendEntry>(const StoredRecord&)>;

  explicit BackendListing(Decoder decoder);

  // Updates the entries from the current list, and logs the changes.
  auto Update(const std::map<std::string, StoredRecord>& records,
              GatewayOutbox& outbox) -> void;

  // Returns the entries that could be decoded, ordered by name.
  [[nodiscard]] auto entries() const -> std::vector<BackendEntry>;

 private:
  struct Item {
    StorePosition position;
    absl::StatusOr<BackendEntry> entry;
  };

  auto Decode(const StoredRecord& record, GatewayOutbox& outbox) -> void;

  Decoder decoder_;
  std::map<std::string, Item> items_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_GATEWAY_BACKEND_LISTING_H_
