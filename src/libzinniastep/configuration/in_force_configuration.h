#ifndef LIBZINNIASTEP_CONFIGURATION_IN_FORCE_CONFIGURATION_H_
#define LIBZINNIASTEP_CONFIGURATION_IN_FORCE_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "libzinniastep/base/finding.h"
#include "libzinniastep/base/ids.h"
#include "libzinniastep/configuration/record_content.h"
#include "libzinniastep/configuration/record_table.h"
#include "libzinniastep/configuration/snapshot.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/core/host_identity.h"

namespace zinniastep {

// A state that has just come into force, and whether it must travel ahead of
// others.
struct AcceptedRecord {
  RecordId id;
  bool urgent = false;
};

// The states in force on one host, which only ever go forward: a state is
// taken when it is valid, concerns this host, and is newer than the one held.
// Whatever is refused is logged once.
class InForceConfiguration {
 public:
  // The identity must outlive this object.
  explicit InForceConfiguration(const HostIdentity& self);

  // Checks an object as the object API holds it.
  auto TakeFromStore(const StoredObject& object, Effects& effects)
      -> std::optional<AcceptedRecord>;

  // Checks a state that a peer sent.
  auto TakeFromPeer(const HostId& from,
                    RecordTable::Record record,
                    Effects& effects) -> std::optional<AcceptedRecord>;

  [[nodiscard]] auto snapshot() const -> const ConfigurationSnapshot& {
    return snapshot_;
  }
  [[nodiscard]] auto table() const -> const RecordTable& { return table_; }

 private:
  auto PutInForce(RecordTable::Record record,
                  RecordValue value,
                  const std::string& source,
                  Effects& effects) -> AcceptedRecord;
  auto RefuseOlder(const RecordId& id, const RecordId& held, Effects& effects)
      -> void;
  auto RefuseInvalid(const RecordId& id,
                     const std::string& source,
                     const Findings& findings,
                     Effects& effects) -> void;
  auto DropForeignRosters() -> void;
  [[nodiscard]] auto IsOurs(const ObjectPath& path) const -> bool;
  [[nodiscard]] auto IsUrgentChange(const RecordValue& value) const -> bool;

  const HostIdentity& self_;
  ConfigurationSnapshot snapshot_;
  RecordTable table_;
  // The last content of each object that the object API showed.
  std::map<ObjectPath, std::uint64_t> seen_;
  // The last state of each object that was refused.
  std::map<ObjectPath, RecordId> refused_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_IN_FORCE_CONFIGURATION_H_
