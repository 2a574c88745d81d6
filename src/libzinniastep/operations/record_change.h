#ifndef LIBZINNIASTEP_OPERATIONS_RECORD_CHANGE_H_
#define LIBZINNIASTEP_OPERATIONS_RECORD_CHANGE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/configuration/record_content.h"
#include "libzinniastep/operations/object_client.h"

namespace zinniastep {

// How an operator's change ended.
enum class ChangeEnd : std::uint8_t {
  // It is in the object API.
  kAccepted,
  // The object API held it already.
  kUnchanged,
  // Somebody else changed the object; nothing was written.
  kConflict,
  // The object API could not be read; nothing was written.
  kUnreachable,
  // The answer was lost, and so was that to reading back.
  kUnknown,
};

// The end of a change, with the generation that the object has now as far as
// is known.
struct ChangeResult {
  ChangeEnd end = ChangeEnd::kUnknown;
  std::uint64_t generation = 0;
  std::string message;
  // The members that changed: with a conflict, those that somebody else has.
  std::vector<std::string> differences;
};

// Turns the present value into the wanted one, or says why it cannot.
using RecordEdit =
    std::function<absl::StatusOr<RecordValue>(const RecordValue& current)>;

// Returns the members in which two JSON texts differ, each as operation and
// JSON pointer. The generation does not count.
[[nodiscard]] auto ListDifferences(std::string_view older,
                                   std::string_view newer)
    -> std::vector<std::string>;

// Changes configuration objects by conditional update. A change carries the
// generation after the highest one that the object API or a host has shown, so
// that a restored older object API takes nothing back.
class RecordChanger {
 public:
  // `in_force` returns the highest generation of an object that is known to be
  // in force on some host, or zero.
  RecordChanger(ObjectClient& client,
                std::function<std::uint64_t(const ObjectPath&)> in_force);

  // Replaces the object by a value that was made from the generation it
  // carries, or creates it. Fails when the object has another generation.
  [[nodiscard]] auto Replace(const ObjectPath& path, RecordValue value)
      -> ChangeResult;

  // Edits the object, again when somebody else changed it meanwhile. Fails
  // when the object API is behind what is in force, since the edit would bring
  // back what it holds.
  [[nodiscard]] auto Edit(const ObjectPath& path, const RecordEdit& edit)
      -> ChangeResult;

 private:
  struct Current {
    std::uint64_t generation = 0;
    std::uint64_t in_force = 0;
    ObjectVersion version = 0;
    std::string text;
    std::optional<RecordValue> value;
  };

  auto ReadCurrent(const ObjectPath& path) -> absl::StatusOr<Current>;
  auto Write(const ObjectPath& path, const Current& current, RecordValue value)
      -> ChangeResult;
  // Finds out by reading back what became of a write that was not confirmed;
  // `silent` says that no answer came, so that it may have taken effect.
  auto Settle(const ObjectPath& path,
              const Current& before,
              const std::string& text,
              std::uint64_t generation,
              bool silent) -> ChangeResult;

  ObjectClient& client_;
  std::function<std::uint64_t(const ObjectPath&)> in_force_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_OPERATIONS_RECORD_CHANGE_H_
