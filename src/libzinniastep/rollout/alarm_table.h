#ifndef LIBZINNIASTEP_ROLLOUT_ALARM_TABLE_H_
#define LIBZINNIASTEP_ROLLOUT_ALARM_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/configuration/document.h"
#include "libzinniastep/rollout/evidence.h"
#include "libzinniastep/rollout/messages.h"

namespace zinniastep {

// The alarms in force on this host. An alarm stays until a document has held or
// withdrawn the version and a later document allows new work on it again. Only
// someone with the right to change the document can therefore lift an alarm.
class AlarmTable {
 public:
  // Adds an alarm. Returns false if the scope already has one, if a document
  // newer than the alarm's has lifted it, or if the table is full.
  auto Raise(const EvidenceAlarm& alarm) -> bool;

  // Returns the alarm that excludes new work of an account and task class from
  // a version, or null.
  [[nodiscard]] auto Find(const ModelVersion& version,
                          const ClientAccountId& account,
                          const TaskClassId& task_class) const
      -> const EvidenceAlarm*;

  // Returns an alarm about a version in any scope, or null. An alarm about all
  // answers of the version takes precedence.
  [[nodiscard]] auto FindAny(const ModelVersion& version) const
      -> const EvidenceAlarm*;

  // Removes the alarms that a document lifts and returns their scopes.
  auto OnDocument(const Document& document) -> std::vector<EvidenceScope>;

  [[nodiscard]] auto empty() const -> bool { return alarms_.empty(); }

 private:
  // An alarm, and whether a document has held or withdrawn the version since.
  struct Entry {
    EvidenceAlarm alarm;
    bool confirmed = false;
  };

  std::map<EvidenceScope, Entry> alarms_;
  // Generation of the document that last lifted an alarm, by scope.
  std::map<EvidenceScope, std::uint64_t> lifted_generations_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_ROLLOUT_ALARM_TABLE_H_
