#ifndef LIBZINNIASTEP_OPERATIONS_OBJECT_CLIENT_H_
#define LIBZINNIASTEP_OPERATIONS_OBJECT_CLIENT_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/core/event.h"

namespace zinniastep {

// How a conditional write ended. Silent ones may have taken effect.
using WriteResult = std::variant<StoreWritten, StoreConflict, StoreSilent>;

// The object API as an operator's command sees it: each call waits for its
// answer.
class ObjectClient {
 public:
  ObjectClient() = default;
  ObjectClient(const ObjectClient&) = delete;
  auto operator=(const ObjectClient&) -> ObjectClient& = delete;
  virtual ~ObjectClient() = default;

  // Returns the object, or nothing when it does not exist.
  [[nodiscard]] virtual auto Read(const ObjectPath& path)
      -> absl::StatusOr<std::optional<StoredObject>> = 0;

  // Returns all objects below a prefix.
  [[nodiscard]] virtual auto List(const std::string& prefix)
      -> absl::StatusOr<std::vector<StoredObject>> = 0;

  // Writes the object when its version is the expected one; zero means that it
  // must not exist.
  [[nodiscard]] virtual auto Write(const ObjectPath& path,
                                   ObjectVersion expected,
                                   const std::string& value) -> WriteResult = 0;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_OPERATIONS_OBJECT_CLIENT_H_
