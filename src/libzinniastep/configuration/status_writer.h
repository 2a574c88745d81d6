#ifndef LIBZINNIASTEP_CONFIGURATION_STATUS_WRITER_H_
#define LIBZINNIASTEP_CONFIGURATION_STATUS_WRITER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/configuration/configuration_settings.h"
#include "libzinniastep/configuration/record_table.h"
#include "libzinniastep/configuration/region_pulse.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/core/host_identity.h"
#include "libzinniastep/core/store_tokens.h"

namespace zinniastep {

// Tells operators, in one object a region, on how many of the region's hosts
// each configuration object is in force. Written by the region's root, when
// something changed and not more often than every few seconds.
class StatusWriter {
 public:
  // All references must outlive the writer.
  StatusWriter(const ConfigurationSettings& settings,
               const RecordTable& table,
               StoreTokens& tokens);

  // Writes the status when it is time. The counts are of the whole region.
  auto OnTime(Instant now,
              const HostIdentity& self,
              const SubtreeCount& count,
              Effects& effects) -> void;

  // Returns whether the answer was to this writer.
  auto OnStore(const StoreAnswered& answered) -> bool;

 private:
  struct Confirmed {
    RecordId id;
    std::uint32_t hosts = 0;
  };

  auto Confirm(const SubtreeCount& count) -> void;
  [[nodiscard]] auto Text(const HostIdentity& self,
                          const SubtreeCount& count) const -> std::string;

  const ConfigurationSettings& settings_;
  const RecordTable& table_;
  StoreTokens& tokens_;
  std::map<ObjectPath, Confirmed> confirmed_;
  StoreToken token_ = 0;
  Instant asked_at_;
  // The object's version, unless it must be read first.
  std::optional<ObjectVersion> version_;
  std::string writing_;
  std::string written_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_STATUS_WRITER_H_
