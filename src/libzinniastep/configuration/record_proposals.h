#ifndef LIBZINNIASTEP_CONFIGURATION_RECORD_PROPOSALS_H_
#define LIBZINNIASTEP_CONFIGURATION_RECORD_PROPOSALS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/base/time.h"
#include "libzinniastep/configuration/record_table.h"
#include "libzinniastep/core/effects.h"
#include "libzinniastep/core/event.h"
#include "libzinniastep/core/store_tokens.h"

namespace zinniastep {

// Changes of configuration that this host itself writes, as the withdrawal of
// a bad version. At most one is under way for each object. An answer that is
// lost is settled by reading the object back.
class RecordProposals {
 public:
  // All references must outlive the proposals.
  RecordProposals(const RecordTable& table, StoreTokens& tokens);

  // Writes the text, whose generation must follow the one in force, in place
  // of the state in force. Fails when there is none or while another change of
  // the object is under way.
  auto Propose(Instant now,
               const ObjectPath& path,
               std::string text,
               std::uint64_t generation,
               Effects& effects) -> absl::Status;

  // Reads objects again whose fate is still unknown.
  auto OnTime(Instant now, Effects& effects) -> void;

  // Returns the objects that are now known to be in the object API, or nothing
  // when the answer was not to a proposal.
  auto OnStore(Instant now, const StoreAnswered& answered, Effects& effects)
      -> std::optional<std::vector<StoredObject>>;

 private:
  enum class Stage : std::uint8_t { kWriting, kUnknown, kReading };

  struct Proposal {
    Stage stage = Stage::kWriting;
    StoreToken token = 0;
    std::uint64_t generation = 0;
    std::string text;
    Instant since;
    Instant retry_at;
  };

  auto Read(const ObjectPath& path, Proposal& proposal, Effects& effects)
      -> void;
  auto TakeWriteAnswer(Instant now,
                       const ObjectPath& path,
                       Proposal& proposal,
                       const StoreAnswered& answered,
                       Effects& effects) -> std::vector<StoredObject>;
  auto TakeReadAnswer(const ObjectPath& path,
                      const Proposal& proposal,
                      const StoreFound& found,
                      Effects& effects) -> std::vector<StoredObject>;

  const RecordTable& table_;
  StoreTokens& tokens_;
  std::map<ObjectPath, Proposal> proposals_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_RECORD_PROPOSALS_H_
