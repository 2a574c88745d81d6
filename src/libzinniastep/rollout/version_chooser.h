#ifndef LIBZINNIASTEP_ROLLOUT_VERSION_CHOOSER_H_
#define LIBZINNIASTEP_ROLLOUT_VERSION_CHOOSER_H_

#include <optional>
#include <string>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/configuration/snapshot.h"
#include "libzinniastep/rollout/alarm_table.h"

namespace zinniastep {

// Describes a request for which a version of a model is chosen.
struct VersionQuery {
  std::string model;
  ClientAccountId account;
  TaskClassId task_class;
  RequestId request;
  // Empty when the request belongs to no session.
  SessionId session;
  // The version in the session's token, if any.
  std::optional<ModelVersion> session_version;
};

// Chooses a model's version for a request. A session with a token keeps the
// version in the token. A session without a token is assigned a version by a
// hash of the session's ID and the roll-out's session share, which is the same
// in all steps. Withdrawal of a version overrides both. Requests outside of
// sessions are split by the share of the roll-out's step, unless the roll-out
// is held or an alarm excludes them from the new version.
class VersionChooser {
 public:
  VersionChooser(const ConfigurationSnapshot& configuration,
                 const AlarmTable& alarms);

  // Returns the version, or nothing when no version of the model is serving.
  [[nodiscard]] auto Choose(const VersionQuery& query) const
      -> std::optional<ModelVersion>;

 private:
  [[nodiscard]] auto ChooseForSession(const Document& document,
                                      const VersionQuery& query) const
      -> std::optional<ModelVersion>;
  [[nodiscard]] auto ChooseInRollout(const RolloutRule& rollout,
                                     const VersionQuery& query) const
      -> std::optional<ModelVersion>;

  const ConfigurationSnapshot& configuration_;
  const AlarmTable& alarms_;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_ROLLOUT_VERSION_CHOOSER_H_
