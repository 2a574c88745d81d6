#ifndef ZINNIASTEPCTL_CHANGE_COMMANDS_H_
#define ZINNIASTEPCTL_CHANGE_COMMANDS_H_

#include <string>
#include <vector>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/operations/record_change.h"
#include "zinniastepctl/exit_code.h"
#include "zinniastepctl/session.h"

namespace zinniastep::ctl {

// Reports all findings of all files.
auto Check(const Session& session, const std::vector<std::string>& files)
    -> ExitCode;

// Shows in which members a file differs from the object API.
auto Diff(const Session& session, const std::string& file) -> ExitCode;

// Puts a file's content into the object API and the new generation into the
// file.
auto Apply(const Session& session, const std::string& file) -> ExitCode;

// Edits an object and reports how that ended.
auto Change(const Session& session,
            const ObjectPath& path,
            const RecordEdit& edit) -> ExitCode;

// Edits the document that defines a version or a roll-out.
auto ChangeDocumentWith(const Session& session,
                        const ModelVersion& version,
                        const RecordEdit& edit) -> ExitCode;
auto ChangeDocumentWith(const Session& session,
                        const RolloutId& rollout,
                        const RecordEdit& edit) -> ExitCode;

}  // namespace zinniastep::ctl

#endif  // ZINNIASTEPCTL_CHANGE_COMMANDS_H_
